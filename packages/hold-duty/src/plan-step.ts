/** Pure decision: what a VM does next about a duty. */
import type { Millis } from '@limelead/types';

/** What is known at one moment. Times are steady. */
export interface DutyStatus {
  now: Millis;
  /** Places behind the first of the VMs that stand for the duty; undefined where others stand. */
  candidateRank: number | undefined;
  /** When the lease was last sent a renewal that was answered; undefined where it is not held. */
  sentAtMs: Millis | undefined;
  /** Since when this VM holds the duty without standing for it. */
  notCandidateSinceMs: Millis | undefined;
  /** Since when this VM has no links to most of the others; undefined where it has. */
  isolatedSinceMs: Millis | undefined;
  /** Since when this VM holds the duty; undefined where it does not. */
  heldSinceMs: Millis | undefined;
  /** Since when the store's news show no holder; undefined where they show one. */
  vacantSinceMs: Millis | undefined;
  /** When this VM last asked the store who holds the duty. */
  holderCheckedAtMs: Millis;
  /** Until then this VM leaves the duty to others; in the past where it does not. */
  yieldUntilMs: Millis;
  /** No call before, since the last ones failed. */
  retryAtMs: Millis;
  renewalIntervalMs: Millis;
}

/** What is done next. */
export type DutyStep = 'renew' | 'release' | 'take' | 'wait';

/** Head start of each candidate over the next, in milliseconds: some answers of the store. */
const RANK_DELAY_MS = 300;
/** Candidates ask this rarely while the news show a holder; news may be wrong or stand still. */
const HOLDER_CHECK_INTERVAL_MS = 15_000;
/** A holder that no longer stands is told nothing; it gives up once the change has lasted. */
const NOT_CANDIDATE_GRACE_MS = 3_000;

/** So long links may be down before a holder is cut off, in milliseconds: two rounds. */
const ISOLATION_GRACE_MS = 2_000;
/**
 * A VM that is cut off leaves the others this time to take a vacant duty, in milliseconds. It
 * then takes and keeps it: nobody else may be left.
 */
const ISOLATED_ACQUIRE_DELAY_MS = 4_000;

/** Chooses the step. */
export default function planStep(situation: DutyStatus): DutyStep {
  const { now, sentAtMs, notCandidateSinceMs, yieldUntilMs, retryAtMs, renewalIntervalMs } =
    situation;
  if (now < retryAtMs) {
    return 'wait';
  }
  const isAside = now < yieldUntilMs;
  if (sentAtMs === undefined) {
    return !isAside && shouldTake(situation) ? 'take' : 'wait';
  }
  const isOutOfPlace =
    notCandidateSinceMs !== undefined && now - notCandidateSinceMs >= NOT_CANDIDATE_GRACE_MS;
  if (isAside || isOutOfPlace) {
    return 'release';
  }
  if (mustReleaseIsolated(situation)) {
    return 'release';
  }
  return now - sentAtMs >= renewalIntervalMs ? 'renew' : 'wait';
}

/** A holder that is cut off while it holds is told nothing, and others stand for the duty. */
function mustReleaseIsolated({
  now,
  isolatedSinceMs,
  heldSinceMs = Infinity,
}: DutyStatus): boolean {
  return (
    isolatedSinceMs !== undefined &&
    heldSinceMs < isolatedSinceMs &&
    now - isolatedSinceMs >= ISOLATION_GRACE_MS
  );
}

function shouldTake(situation: DutyStatus): boolean {
  const { now, candidateRank, vacantSinceMs, holderCheckedAtMs, isolatedSinceMs } = situation;
  if (candidateRank === undefined) {
    return false;
  }
  const waitMs = isolatedSinceMs === undefined ? 0 : ISOLATED_ACQUIRE_DELAY_MS;
  return vacantSinceMs === undefined
    ? now - holderCheckedAtMs >= HOLDER_CHECK_INTERVAL_MS
    : now - vacantSinceMs >= candidateRank * RANK_DELAY_MS + waitMs;
}
