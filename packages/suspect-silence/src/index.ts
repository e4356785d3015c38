/**
 * Pure adaptive bound on the silence of a stream. The bound follows the gaps
 * that were seen, in the manner of a TCP retransmission timer, within limits
 * that each priority sets.
 */
import type { RecoveryPolicy } from '@limelead/types';

const MEAN_SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const INITIAL_MEAN_MS = 60;
const INITIAL_DEVIATION_MS = 60;

/** Moving mean and deviation of the gaps between messages, in milliseconds. */
export interface GapEstimate {
  meanMs: number;
  deviationMs: number;
}

/** What is assumed before any gap was seen. */
export const INITIAL_GAP_ESTIMATE: GapEstimate = {
  meanMs: INITIAL_MEAN_MS,
  deviationMs: INITIAL_DEVIATION_MS,
};

/** Takes one more gap into the estimate. */
export function updateGapEstimate(estimate: GapEstimate, gapMs: number): GapEstimate {
  const error = gapMs - estimate.meanMs;
  return {
    meanMs: estimate.meanMs + MEAN_SMOOTHING * error,
    deviationMs:
      estimate.deviationMs + DEVIATION_SMOOTHING * (Math.abs(error) - estimate.deviationMs),
  };
}

/** Milliseconds of silence in mid-stream after which the target is suspected. */
export default function computeSilenceTimeout(
  estimate: GapEstimate,
  policy: RecoveryPolicy,
): number {
  const bound = estimate.meanMs + policy.suspicionFactor * estimate.deviationMs;
  return clamp(bound, policy.minSilenceMs, policy.maxSilenceMs);
}

/**
 * Milliseconds to wait for the first token. `lateness` is by how much first
 * tokens lately came after the router's expectation: a long prompt or a queue
 * that nobody reports is no sign of a dead engine.
 */
export function computeFirstTokenTimeout(
  expectedMs: number,
  lateness: GapEstimate,
  policy: RecoveryPolicy,
): number {
  const late = lateness.meanMs + policy.suspicionFactor * lateness.deviationMs;
  return policy.minSilenceMs + expectedMs + Math.max(0, late);
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(Math.max(value, low), high);
}
