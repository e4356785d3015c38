/** Reason why a request is refused at once because it cannot get a slot before its deadline. */
import type { CooldownRefusal } from '@limelead/track-backpressure';
import type { Millis, PermitRefusal } from '@limelead/types';

/** The prompt exceeds the memory of a target, both in tokens. */
export interface TooLargeRefusal {
  kind: 'too-large';
  retryAfterMs: Millis;
  promptTokens: number;
  capacityTokens: number;
}

export type SlotRefusal =
  | CooldownRefusal
  | TooLargeRefusal
  | ({ kind: 'no-permit' | 'no-place' } & PermitRefusal)
  /** The retry budget has no retry in time; already logged. */
  | { kind: 'no-retry'; retryAfterMs: Millis };
