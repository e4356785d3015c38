/** Slow start: ramps up the concurrency at a target after a cooldown. */
import type { Millis } from '@limelead/types';

/** Duration of the ramp from one request to all slots. */
export const SLOW_START_MS: Millis = 1_000;

/** @param sinceEndMs time since the end of the cooldown, in milliseconds */
export default function rampSlots(slots: number, sinceEndMs: Millis): number {
  if (sinceEndMs >= SLOW_START_MS) {
    return slots;
  }
  return Math.max(1, Math.floor((slots * sinceEndMs) / SLOW_START_MS));
}
