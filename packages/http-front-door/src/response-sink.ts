/** Writes the answer to one request. */
import { LimeleadError, toHttpStatus } from '@limelead/errors';
import type { AnswerSink } from '@limelead/forward-request';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type AnswerBufferBudget from './answer-buffer-budget.js';
import type { BufferedAnswer } from './answer-buffer-budget.js';

/**
 * Memory of a write that waits, beside its bytes. The stream keeps four entries for the frame of a
 * chunk; 370 bytes of heap were measured for a piece of 100 bytes.
 */
const WRITE_OVERHEAD_BYTES = 512;
/**
 * Waiting bytes from which a write is copied. A small piece is a slice of memory that it shares with
 * pieces of other answers, and a slice that waits keeps all of it.
 */
const COPY_FROM_BYTES = 1_024;
/** Longest wait of a refusal for the end of the request body. */
const BODY_END_TIMEOUT_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Callbacks of a sink. */
export interface ResponseSinkEvents {
  /** Whether this VM is stopping; answers then close their connections. */
  isStopping(): boolean;
  onRefused(error: LimeleadError, status: number): void;
  /** The answer was broken off after its head was sent. */
  onBrokenOff(error: LimeleadError): void;
  /** Additional headers of a refusal. */
  composeRefusalHeaders?(error: LimeleadError): string[];
  /** The answer was dropped because too many bytes wait for callers. */
  onDropped(drop: AnswerDrop): void;
}

/** What was dropped, and how the caller learns of it. */
export interface AnswerDrop {
  bytes: number;
  /** Bytes of all answers before the drop. */
  totalBytes: number;
  outcome: 'broken-off' | 'refused';
}

/** The response to one request, with refusals, keep-alive handling and a count of waiting bytes. */
export default class ResponseSink implements AnswerSink, BufferedAnswer {
  countedBytes = 0;
  waitingBytes = 0;
  /** Whether the answer has been completed, refused or broken off, or the caller has left. */
  isOver = false;
  private pendingWrites = 0;
  private heldBytes = 0;
  private notifyFlushed: () => void = () => undefined;
  private notifyLeft: () => void = () => undefined;
  private notifyShutdown = (): void =>
    this.refuse(
      new LimeleadError('shutting-down', 'this VM stops before the request is forwarded'),
    );
  /** One callback for all writes, so that a piece allocates none. */
  private readonly onWritten = (): void => {
    this.pendingWrites -= 1;
    this.waitingBytes = this.response.writableLength;
    if (this.countedBytes > 0) {
      this.countBytes(this.waitingBytes);
    }
    this.notifyFlushed();
  };

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly budget: AnswerBufferBudget<ResponseSink>,
    private readonly events: ResponseSinkEvents,
  ) {
    response.on('error', () => undefined);
    response.once('close', () => this.releaseBytes());
  }

  begin(status: number, rawHeaders: string[], length?: number): void {
    if (this.isOver) {
      return;
    }
    const headers = [...rawHeaders];
    if (length !== undefined) {
      headers.push('Content-Length', String(length));
    }
    if (this.events.isStopping()) {
      headers.push('Connection', 'close');
    }
    this.response.writeHead(status, headers);
  }

  write(bytes: Buffer): void {
    if (this.isOver) {
      return;
    }
    this.waitingBytes = this.response.writableLength;
    this.pendingWrites += 1;
    const isBehind = this.waitingBytes >= COPY_FROM_BYTES;
    this.response.write(isBehind ? toUnshared(bytes) : bytes, this.onWritten);
    this.countBytes();
  }

  /** Completes the answer. Bytes that still wait for the caller stay counted. */
  end(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.heldBytes = 0;
      this.response.end();
      this.countBytes();
    }
  }

  onFlushed(callback: () => void): void {
    this.notifyFlushed = callback;
  }

  addHeldBytes(bytes: number): void {
    if (!this.isOver) {
      this.heldBytes += bytes;
      this.countBytes();
    }
  }

  abort(error: LimeleadError): void {
    if (!this.isOver) {
      this.events.onBrokenOff(error);
      this.destroy();
    }
  }

  refuse(error: LimeleadError): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    this.releaseBytes();
    const { answer } = error;
    const status = toHttpStatus(error.kind, answer.execution);
    this.events.onRefused(error, status);
    const body = JSON.stringify({ error: error.kind, message: error.message });
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(Buffer.byteLength(body)),
    ];
    if (answer.mayRetry && answer.execution === 'not-run') {
      headers.push('Retry-After', String(answer.retryAfterMs / MS_PER_SECOND));
    }
    headers.push(...(this.events.composeRefusalHeaders?.(error) ?? []));
    const isBodyRead = this.message.complete || isBodyEmpty(this.message);
    if (this.events.isStopping() || !isBodyRead) {
      headers.push('Connection', 'close');
    }
    this.response.writeHead(status, headers);
    this.response.write(body);
    this.endAfterBody(isBodyRead);
  }

  /** Calls back when the caller disconnects before the end of the answer; at once if it already has. */
  onCallerLeft(callback: () => void): void {
    const notify = (): void => {
      if (!this.isOver) {
        this.isOver = true;
        callback();
      }
    };
    this.notifyLeft = callback;
    if (this.response.destroyed) {
      notify();
    } else {
      this.response.on('close', notify);
    }
  }

  onShutdown(callback: () => void): void {
    this.notifyShutdown = callback;
  }

  /** Ends the answer because this VM shuts down; one that is complete stays as it is. */
  shutDown(): void {
    if (!this.isOver) {
      this.notifyShutdown();
    }
  }

  private countBytes(writableBytes = this.response.writableLength): void {
    const bytes = writableBytes + this.pendingWrites * WRITE_OVERHEAD_BYTES + this.heldBytes;
    for (const { answer, ...drop } of this.budget.record(this, bytes)) {
      answer.drop(drop);
    }
  }

  private releaseBytes(): void {
    this.heldBytes = 0;
    this.budget.release(this);
  }

  /**
   * Gives up the answer to free its memory. The caller of a stream can resume it. The forwarder is
   * told afterwards, since it may be about to write this or another answer.
   */
  private drop(drop: Omit<AnswerDrop, 'outcome'>): void {
    const hasBegun = this.response.headersSent;
    this.events.onDropped({ ...drop, outcome: hasBegun ? 'broken-off' : 'refused' });
    if (!this.isOver) {
      process.nextTick(() => this.notifyLeft());
    }
    if (hasBegun) {
      this.destroy();
    } else {
      const message = 'too many answers wait in memory';
      this.refuse(new LimeleadError('overloaded', message, { execution: 'unknown' }));
    }
  }

  /**
   * Discards the rest of the body before the answer ends: closing a connection with unread
   * bytes resets it, and the caller might lose the answer.
   */
  private endAfterBody(isBodyRead: boolean): void {
    if (isBodyRead) {
      this.response.end();
      return;
    }
    const timer = setTimeout(() => this.response.end(), BODY_END_TIMEOUT_MS);
    this.message.resume();
    this.message.once('end', () => {
      clearTimeout(timer);
      this.response.end();
    });
    this.response.once('close', () => clearTimeout(timer));
  }

  private destroy(): void {
    this.isOver = true;
    this.releaseBytes();
    if (this.response.socket !== null) {
      this.response.destroy();
    } else if (!this.response.writableFinished) {
      // The answer waits behind another one of its connection and would keep its bytes until then.
      this.message.socket.destroy();
    }
  }
}

/** Returns the bytes, as a copy if they are less than half of the memory that they keep. */
function toUnshared(bytes: Buffer): Buffer {
  if (bytes.length * 2 > bytes.buffer.byteLength) {
    return bytes;
  }
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}

/** Whether a request has no body. `complete` may still be false when its head has been read. */
function isBodyEmpty({ headers }: IncomingMessage): boolean {
  const hasLength = Number(headers['content-length'] ?? 0) > 0;
  return !hasLength && headers['transfer-encoding'] === undefined;
}
