/**
 * Adaptive timeouts for the silence of a stream. Like a TCP retransmission timer, the timeout
 * follows the observed gaps, within the limits of the recovery policy. Pure.
 */
import type { RecoveryPolicy } from '@limelead/types';

const MEAN_SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
const INITIAL_MEAN_MS = 60;
const INITIAL_DEVIATION_MS = 60;
/** Margin over the longest usual gap beside a prefill. */
const PREFILL_GAP_MARGIN = 1.25;

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

/**
 * Returns the estimate for a target whose pieces take that multiple of the time. A run that moves
 * keeps its estimate this way, so that its limit does not start anew at the next target.
 */
export function scaleGapEstimate(estimate: GapEstimate, factor: number): GapEstimate {
  return { meanMs: estimate.meanMs * factor, deviationMs: estimate.deviationMs * factor };
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
 * Returns the timeout while another prompt is prefilled at the target, where gaps up to
 * `prefillGapMs` are usual; 0 if no such gap was seen.
 */
export function computeSilenceTimeoutBesidePrefill(
  estimate: GapEstimate,
  prefillGapMs: number,
  policy: RecoveryPolicy,
): number {
  const timeoutMs = computeSilenceTimeout(estimate, policy);
  return Math.max(timeoutMs, Math.min(prefillGapMs * PREFILL_GAP_MARGIN, policy.maxSilenceMs));
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
