/** Decides from the crashes of a request whether it may be sent. */
import type { CrashRecord } from './crash-record.js';
import findConsecutiveCrashes from './find-consecutive-crashes.js';

/** Number of consecutive crashes that quarantine a request. Fewer may be coincidence. */
export const CRASHES_TO_QUARANTINE = 3;
/** The same for a request that the software ran without a crash before, which others may crash. */
const CRASHES_TO_QUARANTINE_CLEARED = 6;
/**
 * The same for other requests of a flagged caller, so that one whose requests all crash targets
 * ends fewer of them.
 */
const CRASHES_TO_QUARANTINE_FLAGGED = 2;
/** A request is suspected this many crashes before its quarantine. */
const SUSPICION_MARGIN = 1;
/** Highest probability of a chance at which crashes that may be coincidence quarantine a request. */
const MAX_QUARANTINE_CHANCE = 0.001;
/** The same for a suspicion. */
const MAX_SUSPICION_CHANCE = 0.05;

/** Whether a request may be sent: freely, in a trial of its own, or not at all. */
export type RequestStatus = 'clear' | 'suspected' | 'quarantined';

/** Returns the probability that a target ends by chance during a run. */
export type ChanceOf = (crash: CrashRecord) => number;

/** Number of consecutive crashes that quarantine a request. */
export function countCrashesNeeded({
  hasRun,
  isCallerFlagged,
}: {
  /** Whether the software ran the request without a crash lately. */
  hasRun: boolean;
  isCallerFlagged: boolean;
}): number {
  if (hasRun) {
    return CRASHES_TO_QUARANTINE_CLEARED;
  }
  return isCallerFlagged ? CRASHES_TO_QUARANTINE_FLAGGED : CRASHES_TO_QUARANTINE;
}

/** @param needed number of consecutive crashes that quarantine the request */
export default function judgeCrashes(
  crashes: readonly CrashRecord[],
  needed: number,
  chanceOf: ChanceOf,
): RequestStatus {
  const series = findConsecutiveCrashes(crashes);
  if (series.length >= needed && !isCoincidence(series, chanceOf, MAX_QUARANTINE_CHANCE)) {
    return 'quarantined';
  }
  const isEnough = crashes.length >= needed - SUSPICION_MARGIN;
  return isEnough && !isCoincidence(crashes, chanceOf, MAX_SUSPICION_CHANCE)
    ? 'suspected'
    : 'clear';
}

/**
 * Whether all of the crashes may have happened by chance. Only runs that a target may well outlive
 * are judged by their probability: those that had written output, or that were abandoned before.
 */
function isCoincidence(
  crashes: readonly CrashRecord[],
  chanceOf: ChanceOf,
  maxChance: number,
): boolean {
  const mayBe = crashes.some(({ mayBeCoincidence }) => mayBeCoincidence === true);
  return mayBe && crashes.reduce((product, crash) => product * chanceOf(crash), 1) > maxChance;
}
