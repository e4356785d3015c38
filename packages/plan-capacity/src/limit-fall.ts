/** Pure hysteresis: what is needed rises at once and falls slowly. */
import type { Millis } from '@limelead/types';

/**
 * A need counts for this long, in milliseconds: longer than the swings of the users'
 * load, which pass in 11 s, so that they order nothing.
 */
export const NEED_COUNTS_MS = 20_000;
/** Time between two steps down, in milliseconds; a new target takes about as long to serve. */
export const FALL_STEP_MS = 5_000;
/** Part of what there is that one step down takes. */
const FALL_SHARE = 0.15;
/** A fall smaller than this part is not worth the runs that it moves. */
const LEAST_FALL_SHARE = 0.1;

/** What the last look left. */
export interface FallState {
  /** What the plan is made for: targets, or hundredths of runs a second. */
  needed: number;
  /** The highest need since the step, which the next one may fall to. */
  highest: number;
  /** When the need last rose, or a step down was made. */
  sinceMs: Millis;
  /** True once it fell, so that the next step may follow sooner. */
  isFalling: boolean;
}

/** Takes a need as it is now. */
export default function limitFall(state: FallState, needed: number, now: Millis): FallState {
  if (needed >= state.needed) {
    return { needed, highest: 0, sinceMs: now, isFalling: false };
  }
  const highest = Math.max(state.highest, needed);
  const waitMs = state.isFalling ? FALL_STEP_MS : NEED_COUNTS_MS;
  if (now - state.sinceMs < waitMs) {
    return { ...state, highest };
  }
  const fallen = Math.max(highest, Math.floor(state.needed * (1 - FALL_SHARE)));
  const isWorth = state.needed - highest >= state.needed * LEAST_FALL_SHARE;
  return { needed: isWorth ? fallen : state.needed, highest: 0, sinceMs: now, isFalling: isWorth };
}
