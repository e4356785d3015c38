/** Limits the number of calls per second. */
import type { Millis } from '@limelead/types';

const SECOND_MS = 1_000;

/** Sliding-window limiter over the last second. */
export default class CallRateLimiter {
  private readonly atMs: Millis[] = [];

  constructor(private readonly perSecond: number) {}

  /** Counts a call at this time and returns true, or returns false if the limit is reached. */
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
