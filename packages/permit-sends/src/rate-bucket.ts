/** Spaces the permits of one target evenly at its rate (GCRA). */
import type { Millis } from '@limelead/types';

const SECOND_MS: Millis = 1_000;
/** Rate of probes to a target with a limit of 0, since only a response can lift the limit. */
const PROBE_PER_SECOND = 1 / 30;

/** Rate limiter without burst. */
export default class RateBucket {
  private intervalMs: Millis;
  private nextAtMs: Millis;

  /**
   * @param perSecond permits a second; 0 for probes only
   * @param firstAfter delay of the first permit, in intervals between permits
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

  /** Takes one permit; permits that were not taken in time do not accumulate. */
  consume(now: Millis): void {
    this.nextAtMs = Math.max(this.nextAtMs, now) + this.intervalMs;
  }

  /** Puts back a permit that was taken and not used. */
  restore(): void {
    this.nextAtMs -= this.intervalMs;
  }

  /** Delays the next permit by at least that many intervals. */
  postpone(now: Millis, firstAfter: number): void {
    this.nextAtMs = Math.max(this.nextAtMs, now + this.intervalMs * firstAfter);
  }

  /** Changes the rate and scales the time left until the next permit. */
  setRate(perSecond: number, now: Millis): void {
    const intervalMs = toInterval(perSecond);
    const leftMs = Math.max(0, this.nextAtMs - now);
    this.nextAtMs = now + (leftMs * intervalMs) / this.intervalMs;
    this.intervalMs = intervalMs;
  }
}

function toInterval(perSecond: number): Millis {
  return SECOND_MS / Math.max(perSecond, PROBE_PER_SECOND);
}
