/** Reads a request's body whole, within limits of size and time. */
import { LimeleadError } from '@limelead/errors';
import type { Timers } from '@limelead/types';
import type { IncomingMessage } from 'node:http';

/** How a body may arrive. */
export interface BodyLimits {
  maxBytes: number;
  /** Longest pause between two parts, in milliseconds. */
  pauseMs: number;
}

/** Bytes of bodies that the whole VM holds, against the most that it may. */
export class BodyBudget {
  private held = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes held now. */
  get heldBytes(): number {
    return this.held;
  }

  /** Takes bytes; false where there is no room, and then nothing was taken. */
  tryTake(bytes: number): boolean {
    if (this.held + bytes > this.maxBytes) {
      return false;
    }
    this.held += bytes;
    return true;
  }

  giveBack(bytes: number): void {
    this.held -= bytes;
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
    events.onRefused(describeSize(limits));
    return () => undefined;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let taken = 0;
  let isOver = false;
  let cancelTimer = startTimer();

  function startTimer() {
    return timers.after(limits.pauseMs, () =>
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
      finish(() => events.onRefused(describeSize(limits)));
      return;
    }
    if (!budget.tryTake(chunk.length)) {
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
    budget.giveBack(taken);
    taken = 0;
  };
}

function describeSize({ maxBytes }: BodyLimits): LimeleadError {
  return new LimeleadError('too-large', `the body is longer than ${maxBytes} bytes`);
}
