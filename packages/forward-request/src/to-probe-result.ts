/** Converts the report of a target into the result of a probe. */
import type { ProbeResult } from './dialect.js';

/** Fields of a report. */
export interface TargetReport {
  waiting: number;
  /** Id, tokens in memory and pieces made of each run; more elements are ignored. */
  runs: readonly (readonly unknown[])[];
}

/** @param usedTokens tokens of memory that can't be evicted; undefined if the report lacks them */
export default function toProbeResult(
  { waiting, runs }: TargetReport,
  usedTokens: number | undefined,
): ProbeResult {
  const result = { runs: new Set(runs.map(([id]) => String(id))), waiting };
  if (usedTokens === undefined) {
    return result;
  }
  const listed = runs.map(([id, tokens, pieces]) => ({
    ...{ requestId: String(id), tokens: Number(tokens), pieces: Number(pieces) },
  }));
  return { ...result, memory: { usedTokens, runs: listed } };
}
