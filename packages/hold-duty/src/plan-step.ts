/** Decides the next step of a VM that competes for or holds a duty; free of side effects. */
import type { Millis } from '@limelead/types';

/** Status at one moment. All times are steady. */
export interface DutyStatus {
  now: Millis;
  /** Position of this VM among the candidates, 0 for the first; undefined if it is no candidate. */
  candidateRank: number | undefined;
  /** When the last answered renewal was sent; undefined while the duty is not held. */
  sentAtMs: Millis | undefined;
  /** Since when this VM holds the duty without being a candidate. */
  notCandidateSinceMs: Millis | undefined;
  /** Since when this VM is isolated from most others; undefined if it is not. */
  isolatedSinceMs: Millis | undefined;
  /** Since when this VM holds the duty; undefined while it does not. */
  heldSinceMs: Millis | undefined;
  /** Since when the watched store shows no holder; undefined while it shows one. */
  vacantSinceMs: Millis | undefined;
  /** When this VM last asked the store for the holder. */
  holderCheckedAtMs: Millis;
  /** Until when this VM leaves the duty to others. */
  yieldUntilMs: Millis;
  /** Earliest time of the next call after failures. */
  retryAtMs: Millis;
  renewalIntervalMs: Millis;
}

export type DutyStep = 'renew' | 'release' | 'take' | 'wait';

/** Delay of each candidate after the one before it; a few answers of the store. */
const RANK_DELAY_MS = 300;
/**
 * Interval at which candidates ask the store while the watch shows a holder, in case the watch is
 * stale.
 */
const HOLDER_CHECK_INTERVAL_MS = 15_000;
/** Time after which a holder that is no longer a candidate releases the duty. */
const NOT_CANDIDATE_GRACE_MS = 3_000;

/** Time without links after which an isolated holder releases the duty. */
const ISOLATION_GRACE_MS = 2_000;
/**
 * Extra delay before an isolated VM acquires a vacant duty. It then keeps the duty, since no other
 * VM may be left.
 */
const ISOLATED_ACQUIRE_DELAY_MS = 4_000;

/** Returns the next step. */
export default function planStep(status: DutyStatus): DutyStep {
  const { now, sentAtMs, notCandidateSinceMs, yieldUntilMs, retryAtMs, renewalIntervalMs } = status;
  if (now < retryAtMs) {
    return 'wait';
  }
  const isYielding = now < yieldUntilMs;
  if (sentAtMs === undefined) {
    return !isYielding && shouldAcquire(status) ? 'take' : 'wait';
  }
  const isNotCandidate =
    notCandidateSinceMs !== undefined && now - notCandidateSinceMs >= NOT_CANDIDATE_GRACE_MS;
  if (isYielding || isNotCandidate) {
    return 'release';
  }
  if (mustReleaseIsolated(status)) {
    return 'release';
  }
  return now - sentAtMs >= renewalIntervalMs ? 'renew' : 'wait';
}

/** Whether a holder that became isolated has to release the duty to the other VMs. */
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

function shouldAcquire(status: DutyStatus): boolean {
  const { now, candidateRank, vacantSinceMs, holderCheckedAtMs, isolatedSinceMs } = status;
  if (candidateRank === undefined) {
    return false;
  }
  const waitMs = isolatedSinceMs === undefined ? 0 : ISOLATED_ACQUIRE_DELAY_MS;
  return vacantSinceMs === undefined
    ? now - holderCheckedAtMs >= HOLDER_CHECK_INTERVAL_MS
    : now - vacantSinceMs >= candidateRank * RANK_DELAY_MS + waitMs;
}
