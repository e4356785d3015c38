/** Pure decision: what a VM does next about a duty. */
import type { Millis } from '@limelead/types';

/** What is known at one moment. Times are steady. */
export interface DutySituation {
  now: Millis;
  /** Places behind the first of the VMs that stand for the duty; undefined where others stand. */
  place: number | undefined;
  /** When the lease was last sent a renewal that was answered; undefined where it is not held. */
  sentAtMs: Millis | undefined;
  /** Since when this VM holds the duty without standing for it. */
  outOfPlaceSinceMs: Millis | undefined;
  /** Since when the store's news show no holder; undefined where they show one. */
  vacantSinceMs: Millis | undefined;
  /** When this VM last asked the store who holds the duty. */
  askedAtMs: Millis;
  /** No call before, since the last ones failed. */
  retryAtMs: Millis;
  renewEveryMs: Millis;
}

/** What is done next. */
export type DutyStep = 'renew' | 'release' | 'take' | 'wait';

/** Head start of each candidate over the next, in milliseconds: some answers of the store. */
const PLACE_MS = 300;
/** Candidates ask this rarely while the news show a holder; news may be wrong or stand still. */
const CHECK_EVERY_MS = 15_000;
/** A holder that no longer stands is told nothing; it gives up once the change has lasted. */
const OUT_OF_PLACE_MS = 3_000;

/** Chooses the step. */
export default function planStep(situation: DutySituation): DutyStep {
  const { now, sentAtMs, outOfPlaceSinceMs, retryAtMs, renewEveryMs } = situation;
  if (now < retryAtMs) {
    return 'wait';
  }
  if (sentAtMs === undefined) {
    return shouldTake(situation) ? 'take' : 'wait';
  }
  if (outOfPlaceSinceMs !== undefined && now - outOfPlaceSinceMs >= OUT_OF_PLACE_MS) {
    return 'release';
  }
  return now - sentAtMs >= renewEveryMs ? 'renew' : 'wait';
}

function shouldTake({ now, place, vacantSinceMs, askedAtMs }: DutySituation): boolean {
  if (place === undefined) {
    return false;
  }
  return vacantSinceMs === undefined
    ? now - askedAtMs >= CHECK_EVERY_MS
    : now - vacantSinceMs >= place * PLACE_MS;
}
