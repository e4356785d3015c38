/** The permits of one target, one after the other at its rate (GCRA). */
import type { Millis } from '@limelead/types';

const SECOND_MS: Millis = 1_000;
/**
 * A target that takes nothing is tried this rarely, in requests a second: only the answer to a
 * request can tell that its need is over.
 */
const TRIAL_PER_SECOND = 1 / 30;

/** Gives out permits by time. */
export default class RateBucket {
  private intervalMs: Millis;
  private nextAtMs: Millis;

  /**
   * @param perSecond permits a second; 0 for trials only
   * @param firstAfter when the first one is due, in times between two
   */
  constructor(perSecond: number, now: Millis, firstAfter: number) {
    this.intervalMs = toInterval(perSecond);
    this.nextAtMs = now + this.intervalMs * firstAfter;
  }

  /** When the next permit may be taken; steady time. */
  get readyAtMs(): Millis {
    return this.nextAtMs;
  }

  /** Permits a second. */
  get perSecond(): number {
    return SECOND_MS / this.intervalMs;
  }

  /** Takes one; what was not taken in time is not made up for. */
  take(now: Millis): void {
    this.nextAtMs = Math.max(this.nextAtMs, now) + this.intervalMs;
  }

  /** One that was taken was not used. */
  giveBack(): void {
    this.nextAtMs -= this.intervalMs;
  }

  /** None is due before that time, in times between two. */
  postpone(now: Millis, firstAfter: number): void {
    this.nextAtMs = Math.max(this.nextAtMs, now + this.intervalMs * firstAfter);
  }

  /** Permits come at another rate; what was waited for of the next one counts. */
  change(perSecond: number, now: Millis): void {
    const intervalMs = toInterval(perSecond);
    const leftMs = Math.max(0, this.nextAtMs - now);
    this.nextAtMs = now + (leftMs * intervalMs) / this.intervalMs;
    this.intervalMs = intervalMs;
  }
}

function toInterval(perSecond: number): Millis {
  return SECOND_MS / Math.max(perSecond, TRIAL_PER_SECOND);
}
