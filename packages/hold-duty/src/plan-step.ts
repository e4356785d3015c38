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
  /** Since when this VM has no links to most of the others; undefined where it has. */
  cutOffSinceMs: Millis | undefined;
  /** Since when this VM holds the duty; undefined where it does not. */
  heldSinceMs: Millis | undefined;
  /** Since when the store's news show no holder; undefined where they show one. */
  vacantSinceMs: Millis | undefined;
  /** When this VM last asked the store who holds the duty. */
  askedAtMs: Millis;
  /** Until then this VM leaves the duty to others; in the past where it does not. */
  asideUntilMs: Millis;
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

/** So long links may be down before a holder is cut off, in milliseconds: two rounds. */
const CUT_OFF_MS = 2_000;
/**
 * A VM that is cut off leaves the others this time to take a vacant duty, in milliseconds. It
 * then takes and keeps it: nobody else may be left.
 */
const CUT_OFF_WAIT_MS = 4_000;

/** Chooses the step. */
export default function planStep(situation: DutySituation): DutyStep {
  const { now, sentAtMs, outOfPlaceSinceMs, asideUntilMs, retryAtMs, renewEveryMs } = situation;
  if (now < retryAtMs) {
    return 'wait';
  }
  const isAside = now < asideUntilMs;
  if (sentAtMs === undefined) {
    return !isAside && shouldTake(situation) ? 'take' : 'wait';
  }
  const isOutOfPlace =
    outOfPlaceSinceMs !== undefined && now - outOfPlaceSinceMs >= OUT_OF_PLACE_MS;
  if (isAside || isOutOfPlace) {
    return 'release';
  }
  if (isCutOff(situation)) {
    return 'release';
  }
  return now - sentAtMs >= renewEveryMs ? 'renew' : 'wait';
}

/** A holder that is cut off while it holds is told nothing, and others stand for the duty. */
function isCutOff({ now, cutOffSinceMs, heldSinceMs = Infinity }: DutySituation): boolean {
  return (
    cutOffSinceMs !== undefined && heldSinceMs < cutOffSinceMs && now - cutOffSinceMs >= CUT_OFF_MS
  );
}

function shouldTake(situation: DutySituation): boolean {
  const { now, place, vacantSinceMs, askedAtMs, cutOffSinceMs } = situation;
  if (place === undefined) {
    return false;
  }
  const waitMs = cutOffSinceMs === undefined ? 0 : CUT_OFF_WAIT_MS;
  return vacantSinceMs === undefined
    ? now - askedAtMs >= CHECK_EVERY_MS
    : now - vacantSinceMs >= place * PLACE_MS + waitMs;
}
