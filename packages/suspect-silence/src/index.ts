/**
 * Adaptive timeouts for the silence of a stream. Like a TCP retransmission timer, the timeout
 * follows the observed gaps, within the limits of the recovery policy. Pure.
 */
import type { RecoveryPolicy } from '@limelead/types';

const MEAN_SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const INITIAL_MEAN_MS = 60;
const INITIAL_DEVIATION_MS = 60;

/** Moving mean and mean deviation of the gaps between messages. */
export interface GapEstimate {
  meanMs: number;
  deviationMs: number;
}

/** Estimate before the first gap is observed. */
export const INITIAL_GAP_ESTIMATE: GapEstimate = {
  meanMs: INITIAL_MEAN_MS,
  deviationMs: INITIAL_DEVIATION_MS,
};

/** Returns the estimate updated by one gap. */
export function updateGapEstimate(estimate: GapEstimate, gapMs: number): GapEstimate {
  const error = gapMs - estimate.meanMs;
  return {
    meanMs: estimate.meanMs + MEAN_SMOOTHING * error,
    deviationMs:
      estimate.deviationMs + DEVIATION_SMOOTHING * (Math.abs(error) - estimate.deviationMs),
  };
}

/** Returns the silence in milliseconds after which the target of a running stream is suspected. */
export default function computeSilenceTimeout(
  estimate: GapEstimate,
  policy: RecoveryPolicy,
): number {
  const timeoutMs = estimate.meanMs + policy.suspicionFactor * estimate.deviationMs;
  return clamp(timeoutMs, policy.minSilenceMs, policy.maxSilenceMs);
}

/**
 * Returns the timeout for the first token in milliseconds. `lateness` estimates how much later
 * than expected recent first tokens arrived, so that long prompts and queues raise the timeout.
 */
export function computeFirstTokenTimeout(
  expectedMs: number,
  lateness: GapEstimate,
  policy: RecoveryPolicy,
): number {
  const latenessMs = lateness.meanMs + policy.suspicionFactor * lateness.deviationMs;
  return policy.minSilenceMs + expectedMs + Math.max(0, latenessMs);
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(Math.max(value, low), high);
}
