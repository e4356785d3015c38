/** Finds the crashes of a request that followed one another. */
import type { Millis } from '@limelead/types';
import type { CrashRecord } from './crash-record.js';

/**
 * A crash reported by another VM seems to end later than it did by the time its update is in
 * transit, in milliseconds.
 */
const MAX_UPDATE_DELAY_MS: Millis = 50;
/** Maximum share of a run that may overlap with the previous one because of that delay. */
const MAX_OVERLAP_SHARE = 0.5;

/**
 * Returns the longest series of crashes in which each run began after the crash of the previous
 * one.
 *
 * When a failure domain fails, all runs of a frequent request there break at once and count as one
 * crash, since they began before the first of them broke.
 */
export default function findConsecutiveCrashes(crashes: Iterable<CrashRecord>): CrashRecord[] {
  const series: CrashRecord[] = [];
  // Taking the interval that ends first leaves the most room for further ones.
  const inOrder = [...crashes].sort((a, b) => a.endedAtMs - b.endedAtMs);
  for (const crash of inOrder) {
    const lastEndedAtMs = series.at(-1)?.endedAtMs ?? -Infinity;
    if (lastEndedAtMs - crash.startedAtMs <= computeTolerance(crash)) {
      series.push(crash);
    }
  }
  return series;
}

/** Returns the newest crash that is not in the series. */
export function findSurplusCrash(crashes: readonly CrashRecord[]): CrashRecord | undefined {
  const series = findConsecutiveCrashes(crashes);
  return crashes.filter((crash) => !series.includes(crash)).at(-1);
}

function computeTolerance({ startedAtMs, endedAtMs }: CrashRecord): Millis {
  return Math.min(MAX_UPDATE_DELAY_MS, (endedAtMs - startedAtMs) * MAX_OVERLAP_SHARE);
}
