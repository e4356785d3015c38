/** Crashes that do not count any more, so that repeated updates do not restore them. */
import { RecentTimes, type Millis } from '@limelead/types';
import type { RequestIdentity } from './identify-request.js';

/** How long refuted crashes are remembered, in milliseconds. Longer than any update is in transit. */
const REFUTED_CRASH_TTL_MS: Millis = 30_000;

/** The refuted crashes, by request and target. */
export default class RefutedCrashes {
  private readonly times = new RecentTimes(REFUTED_CRASH_TTL_MS);

  record(request: RequestIdentity, target: string, now: Millis): void {
    this.times.record(keyOf(request, target), now);
  }

  has(request: RequestIdentity, target: string, now: Millis): boolean {
    return this.times.ageMs(keyOf(request, target), now) !== undefined;
  }
}

function keyOf(request: RequestIdentity, target: string): string {
  return `${request} ${target}`;
}
