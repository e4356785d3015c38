/** Reads a whole request body within limits on size and time. */
import { LimeleadError } from '@limelead/errors';
import type { Timers } from '@limelead/types';
import type { IncomingMessage } from 'node:http';

/** Limits on a request body. */
export interface BodyLimits {
  maxBytes: number;
  /** Longest pause between two chunks. */
  idleTimeoutMs: number;
}

/** Limits the bytes of all request bodies in memory. */
export class BodyBudget {
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes reserved now. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /** Reserves bytes; returns false and reserves nothing if the limit would be exceeded. */
  tryReserve(bytes: number): boolean {
    if (this.reserved + bytes > this.maxBytes) {
      return false;
    }
    this.reserved += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reserved -= bytes;
  }
}

/** Result of reading a body. One of the two is called, or none if the caller disconnects. */
export interface BodyEvents {
  onBody(body: Buffer): void;
  onRefused(error: LimeleadError): void;
}

/** Starts reading a body. The returned function releases the bytes reserved for it. */
export default function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
  budget: BodyBudget,
  timers: Timers,
  events: BodyEvents,
): () => void {
  const contentLength = Number(message.headers['content-length'] ?? 0);
  if (contentLength > limits.maxBytes) {
    events.onRefused(createTooLargeError(limits));
    return () => undefined;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let reserved = 0;
  let isOver = false;
  let cancelTimer = startTimer();

  function startTimer() {
    return timers.after(limits.idleTimeoutMs, () =>
      finish(() => events.onRefused(new LimeleadError('too-slow', 'the body arrived too slowly'))),
    );
  }

  function finish(notify: () => void): void {
    if (!isOver) {
      isOver = true;
      cancelTimer();
      notify();
    }
  }

  message.on('data', (chunk: Buffer) => {
    if (isOver) {
      return;
    }
    bytes += chunk.length;
    if (bytes > limits.maxBytes) {
      finish(() => events.onRefused(createTooLargeError(limits)));
      return;
    }
    if (!budget.tryReserve(chunk.length)) {
      finish(() =>
        events.onRefused(new LimeleadError('overloaded', 'too many request bodies in memory')),
      );
      return;
    }
    reserved += chunk.length;
    chunks.push(chunk);
    cancelTimer();
    cancelTimer = startTimer();
  });
  // The chunks are removed, since the listeners would keep a second copy of the body in memory.
  message.on('end', () => finish(() => events.onBody(Buffer.concat(chunks.splice(0)))));
  message.on('error', () => finish(() => undefined));
  message.on('close', () => finish(() => undefined));
  return () => {
    budget.release(reserved);
    reserved = 0;
  };
}

function createTooLargeError({ maxBytes }: BodyLimits): LimeleadError {
  return new LimeleadError('too-large', `the body is longer than ${maxBytes} bytes`);
}
