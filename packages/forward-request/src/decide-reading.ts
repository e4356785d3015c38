/**
 * Decides whether the answer of a target is read while its caller reads slowly. Pure. Addresses
 * callers that read more slowly than targets write: what they don't read stays at the target for
 * a while instead of in the memory of this VM.
 */
import type { Millis } from '@limelead/types';

/** Waiting bytes at which reading is paused; more than a read from a socket returns at once. */
export const HIGH_WATER_BYTES = 64 * 1024;
/** Waiting bytes at which reading continues. */
export const LOW_WATER_BYTES = 16 * 1024;
/** Longest pause; a target cuts off an answer that stays unread for some seconds. */
export const MAX_READ_PAUSE_MS: Millis = 1_000;

/**
 * `overdue` follows a pause of full length: reading continues, and the next pause may begin once
 * the caller has caught up.
 */
export type ReadingState = 'reading' | 'paused' | 'overdue';

/**
 * Returns the next state.
 * @param waitingBytes bytes that wait for the caller
 * @param pausedMs time since the pause began; used in the state `paused` only
 */
export default function decideReading(
  state: ReadingState,
  waitingBytes: number,
  pausedMs: Millis,
): ReadingState {
  if (state === 'reading') {
    return waitingBytes >= HIGH_WATER_BYTES ? 'paused' : 'reading';
  }
  if (waitingBytes <= LOW_WATER_BYTES) {
    return 'reading';
  }
  return state === 'paused' && pausedMs < MAX_READ_PAUSE_MS ? 'paused' : 'overdue';
}
