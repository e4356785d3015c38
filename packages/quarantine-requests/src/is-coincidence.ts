/** Tells crashes that may be coincidence from those that a request must have caused. */
import type { CrashRecord } from './crash-record.js';

/** Returns the probability that the target ended by chance during the run. */
export type ChanceOf = (crash: CrashRecord) => number;

/**
 * Whether all of the crashes may have happened by chance. Only runs that a target may well outlive
 * are judged by their probability: those that had written output, or that were abandoned before.
 */
export default function isCoincidence(
  crashes: readonly CrashRecord[],
  chanceOf: ChanceOf,
  maxChance: number,
): boolean {
  const mayBe = crashes.some(({ mayBeCoincidence }) => mayBeCoincidence === true);
  return mayBe && crashes.reduce((product, crash) => product * chanceOf(crash), 1) > maxChance;
}
