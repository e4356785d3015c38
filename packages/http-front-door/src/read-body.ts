/** Reads a request's body whole, within limits of size and time. */
import { LimeleadError } from '@limelead/errors';
import type { Timers } from '@limelead/types';
import type { IncomingMessage } from 'node:http';

/** How a body may arrive. */
export interface BodyLimits {
  maxBytes: number;
  /** Longest pause between two parts, in milliseconds. */
  idleTimeoutMs: number;
}

/** Bytes of bodies that the whole VM holds, against the most that it may. */
export class BodyBudget {
  private reserved = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes held now. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /** Takes bytes; false where there is no room, and then nothing was taken. */
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

/** What became of a body; exactly one of the two is called, or none where the caller left. */
export interface BodyEvents {
  onBody(body: Buffer): void;
  onRefused(error: LimeleadError): void;
}

/** Starts reading. What it takes from the budget is given back by the result. */
export default function readBody(
  message: IncomingMessage,
  limits: BodyLimits,
  budget: BodyBudget,
  timers: Timers,
  events: BodyEvents,
): () => void {
  const announced = Number(message.headers['content-length'] ?? 0);
  if (announced > limits.maxBytes) {
    events.onRefused(createTooLargeError(limits));
    return () => undefined;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let taken = 0;
  let isOver = false;
  let cancelTimer = startTimer();

  function startTimer() {
    return timers.after(limits.idleTimeoutMs, () =>
      finish(() => events.onRefused(new LimeleadError('too-slow', 'the body came too slowly'))),
    );
  }

  function finish(tell: () => void): void {
    if (!isOver) {
      isOver = true;
      cancelTimer();
      tell();
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
      finish(() => events.onRefused(new LimeleadError('overloaded', 'too many bodies at once')));
      return;
    }
    taken += chunk.length;
    chunks.push(chunk);
    cancelTimer();
    cancelTimer = startTimer();
  });
  message.on('end', () => finish(() => events.onBody(Buffer.concat(chunks))));
  message.on('error', () => finish(() => undefined));
  message.on('close', () => finish(() => undefined));
  return () => {
    budget.release(taken);
    taken = 0;
  };
}

function createTooLargeError({ maxBytes }: BodyLimits): LimeleadError {
  return new LimeleadError('too-large', `the body is longer than ${maxBytes} bytes`);
}
