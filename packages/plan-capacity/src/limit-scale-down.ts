/** Pure hysteresis: what is needed rises at once and falls slowly. */
import type { Millis } from '@limelead/types';

/**
 * A need counts for this long, in milliseconds: longer than the swings of the users'
 * load, which pass in 11 s, so that they order nothing.
 */
export const SCALE_DOWN_DELAY_MS = 20_000;
/** Time between two steps down, in milliseconds; a new target takes about as long to serve. */
export const SCALE_DOWN_INTERVAL_MS = 5_000;
/** Part of what there is that one step down takes. */
const MAX_SCALE_DOWN_SHARE = 0.15;
/** A fall smaller than this part is not worth the runs that it moves. */
const MIN_SCALE_DOWN_SHARE = 0.1;

/** What the last look left. */
export interface ScaleDownState {
  /** What the plan is made for: targets, or hundredths of runs a second. */
  needed: number;
  /** The highest need since the step, which the next one may fall to. */
  peakNeed: number;
  /** When the need last rose, or a step down was made. */
  sinceMs: Millis;
  /** True once it fell, so that the next step may follow sooner. */
  isScalingDown: boolean;
}

/** Takes a need as it is now. */
export default function limitScaleDown(
  state: ScaleDownState,
  needed: number,
  now: Millis,
): ScaleDownState {
  if (needed >= state.needed) {
    return { needed, peakNeed: 0, sinceMs: now, isScalingDown: false };
  }
  const highest = Math.max(state.peakNeed, needed);
  const waitMs = state.isScalingDown ? SCALE_DOWN_INTERVAL_MS : SCALE_DOWN_DELAY_MS;
  if (now - state.sinceMs < waitMs) {
    return { ...state, peakNeed: highest };
  }
  const fallen = Math.max(highest, Math.floor(state.needed * (1 - MAX_SCALE_DOWN_SHARE)));
  const isWorth = state.needed - highest >= state.needed * MIN_SCALE_DOWN_SHARE;
  return {
    needed: isWorth ? fallen : state.needed,
    peakNeed: 0,
    sinceMs: now,
    isScalingDown: isWorth,
  };
}
