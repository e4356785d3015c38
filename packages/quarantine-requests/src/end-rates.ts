/** How often targets end, to tell a crash from a target that ended by chance during a run. */
import type { Millis } from '@limelead/types';

/** Period over which ends are counted, in milliseconds. */
const WINDOW_MS: Millis = 60_000;

/** Ends of targets that one VM learned of, by service. */
export default class EndRates {
  /** Times of the ends by target; oldest first. */
  private readonly ends = new Map<string, Map<string, Millis>>();

  /** @param countTargets number of targets of a service */
  constructor(private readonly countTargets: (service: string) => number) {}

  recordEnd(service: string, target: string, now: Millis): void {
    const ends = this.ends.get(service) ?? new Map<string, Millis>();
    if (!ends.has(target)) {
      this.ends.set(service, ends.set(target, now));
    }
    for (const [ended, atMs] of ends) {
      if (now - atMs < WINDOW_MS) {
        return;
      }
      ends.delete(ended);
    }
  }

  /**
   * Probability, 0 to 1, that a target of the service ends by chance within that time. One end more
   * than was seen is assumed.
   */
  chanceOfEnd(service: string, withinMs: Millis, now: Millis): number {
    const times = [...(this.ends.get(service)?.values() ?? [])];
    const count = times.filter((atMs) => now - atMs < WINDOW_MS).length;
    const ratePerMs = (count + 1) / (Math.max(1, this.countTargets(service)) * WINDOW_MS);
    return 1 - Math.exp(-ratePerMs * Math.max(0, withinMs));
  }
}
