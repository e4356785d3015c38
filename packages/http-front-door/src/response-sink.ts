/** Writes the answer to one request. */
import { toHttpStatus, type LimeleadError } from '@limelead/errors';
import type { AnswerSink } from '@limelead/forward-request';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Limit on bytes buffered for a slow caller; beyond it the connection is destroyed. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Longest wait of a refusal for the end of the request body. */
const BODY_END_TIMEOUT_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Callbacks of a sink. */
export interface ResponseSinkEvents {
  /** Whether this VM is stopping; answers then close their connections. */
  isStopping(): boolean;
  onRefused(error: LimeleadError, status: number): void;
}

/** The response to one request, with refusals and keep-alive handling. */
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

  /** Calls back when the caller disconnects before the end of the answer; at once if it already has. */
  onCallerLeft(callback: () => void): void {
    const notify = (): void => {
      if (!this.isOver) {
        this.isOver = true;
        callback();
      }
    };
    if (this.response.closed) {
      notify();
    } else {
      this.response.on('close', notify);
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
    this.response.destroy();
  }
}

/** Whether a request has no body. `complete` may still be false when its head has been read. */
function isBodyEmpty({ headers }: IncomingMessage): boolean {
  const hasLength = Number(headers['content-length'] ?? 0) > 0;
  return !hasLength && headers['transfer-encoding'] === undefined;
}
