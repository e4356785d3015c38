/** Scale-down hysteresis: the planned need rises at once and falls slowly. */
import type { Millis } from '@limelead/types';

/**
 * Time that a higher need keeps the plan up; longer than the periodic swings of the load of users,
 * 11 s, so that these do not cause scale-downs.
 */
export const SCALE_DOWN_DELAY_MS = 20_000;
/** Time between two scale-down steps; about the time a new target takes to serve. */
export const SCALE_DOWN_INTERVAL_MS = 5_000;
/** Maximum share of the planned need removed in one step. */
const MAX_SCALE_DOWN_SHARE = 0.15;
/** Decreases below this share of the planned need are not worth moving runs for. */
const MIN_SCALE_DOWN_SHARE = 0.1;

/** State between two calls. */
export interface ScaleDownState {
  /** Need that the plan uses, such as targets. */
  needed: number;
  /** Highest need since the last step; the next step does not go below it. */
  peakNeed: number;
  /** When the need last rose or the last step was made. */
  sinceMs: Millis;
  /** True after a step down, so that the next step may follow sooner. */
  isScalingDown: boolean;
}

/** Updates the state with the current need. */
export default function limitScaleDown(
  state: ScaleDownState,
  needed: number,
  now: Millis,
): ScaleDownState {
  if (needed >= state.needed) {
    return { needed, peakNeed: 0, sinceMs: now, isScalingDown: false };
  }
  const peakNeed = Math.max(state.peakNeed, needed);
  const waitMs = state.isScalingDown ? SCALE_DOWN_INTERVAL_MS : SCALE_DOWN_DELAY_MS;
  if (now - state.sinceMs < waitMs) {
    return { ...state, peakNeed };
  }
  const reduced = Math.max(peakNeed, Math.floor(state.needed * (1 - MAX_SCALE_DOWN_SHARE)));
  const isWorthwhile = state.needed - peakNeed >= state.needed * MIN_SCALE_DOWN_SHARE;
  return {
    needed: isWorthwhile ? reduced : state.needed,
    peakNeed: 0,
    sinceMs: now,
    isScalingDown: isWorthwhile,
  };
}
