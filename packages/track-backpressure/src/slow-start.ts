/** Slow start: the requests that a VM may have at a target grow once a cooldown there is over. */
import type { Millis } from '@limelead/types';

/** Time after a cooldown in which the requests grow from one to all that the target takes. */
export const SLOW_START_MS: Millis = 1_000;

/** @param sinceEndMs time since the end of the cooldown, in milliseconds */
export default function rampSlots(slots: number, sinceEndMs: Millis): number {
  if (sinceEndMs >= SLOW_START_MS) {
    return slots;
  }
  return Math.max(1, Math.floor((slots * sinceEndMs) / SLOW_START_MS));
}
