/** Count of events that halves in a fixed time, so that it follows a rate that changes. */
import type { Millis } from '@limelead/types';

const HALF_LIFE_MS: Millis = 2_000;
/** Mean age of the counted events at a steady rate. */
const MEAN_LIFE_SECONDS = HALF_LIFE_MS / Math.LN2 / 1_000;

/** Exponentially decaying count. The time never goes back. */
export default class DecayedCount {
  private value = 0;

  constructor(private updatedAtMs: Millis) {}

  /** Records events that happen now. */
  record(now: Millis, events = 1): void {
    this.value = this.countAt(now) + events;
    this.updatedAtMs = now;
  }

  /** Decayed number of events. */
  countAt(now: Millis): number {
    return this.value * 0.5 ** ((now - this.updatedAtMs) / HALF_LIFE_MS);
  }

  /** Events per second at a steady rate. */
  perSecond(now: Millis): number {
    return this.countAt(now) / MEAN_LIFE_SECONDS;
  }
}
