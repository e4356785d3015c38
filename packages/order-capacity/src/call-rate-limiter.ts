/** Bounds calls: no second holds more of them than that. */
import type { Millis } from '@limelead/types';

const SECOND_MS = 1_000;

/** Remembers the calls of the last second. */
export default class CallRateLimiter {
  private readonly atMs: Millis[] = [];

  constructor(private readonly perSecond: number) {}

  /** Takes a call now, where one may be made. */
  tryAcquire(now: Millis): boolean {
    while (this.atMs[0] !== undefined && this.atMs[0] <= now - SECOND_MS) {
      this.atMs.shift();
    }
    if (this.atMs.length >= Math.max(1, Math.floor(this.perSecond))) {
      return false;
    }
    this.atMs.push(now);
    return true;
  }
}
