/** Writes one answer to one caller. */
import { toHttpStatus, type LimeleadError } from '@limelead/errors';
import type { AnswerSink } from '@limelead/forward-request';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Bytes that may wait for a caller who does not read; beyond it the answer is cut. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** How long an answer that came before the end of the body waits for that end, in milliseconds. */
const BODY_END_TIMEOUT_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** What a sink tells its owner. */
export interface ResponseSinkEvents {
  /** Whether this VM is stopping: then no connection is kept. */
  isStopping(): boolean;
  onRefused(error: LimeleadError, status: number): void;
}

/** The caller's side of one request. */
export default class ResponseSink implements AnswerSink {
  private isOver = false;

  constructor(
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly events: ResponseSinkEvents,
  ) {
    response.on('error', () => undefined);
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
    this.response.write(bytes);
    if (this.response.writableLength > MAX_BUFFERED_BYTES) {
      this.destroy();
    }
  }

  end(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.response.end();
    }
  }

  abort(): void {
    this.destroy();
  }

  refuse(error: LimeleadError): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
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
    const isBodyRead = this.message.complete || isBodyEmpty(this.message);
    if (this.events.isStopping() || !isBodyRead) {
      headers.push('Connection', 'close');
    }
    this.response.writeHead(status, headers);
    this.response.write(body);
    this.endAfterBody(isBodyRead);
  }

  /** Told at once where the caller left before: a request and its end may be read together. */
  onGone(callback: () => void): void {
    const tell = (): void => {
      if (!this.isOver) {
        this.isOver = true;
        callback();
      }
    };
    if (this.response.closed) {
      tell();
    } else {
      this.response.on('close', tell);
    }
  }

  /**
   * Closing a connection with unread bytes resets it, and the caller might lose
   * the answer; so the rest of the body is read and thrown away first.
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
    this.response.destroy();
  }
}

/** A request is told when its head is read; one without a body is only then about to be complete. */
function isBodyEmpty({ headers }: IncomingMessage): boolean {
  const hasLength = Number(headers['content-length'] ?? 0) > 0;
  return !hasLength && headers['transfer-encoding'] === undefined;
}
