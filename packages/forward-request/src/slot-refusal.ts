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
  /** No target runs the software version to which the stream keeps. */
  | { kind: 'no-version'; retryAfterMs: Millis }
  /** The retry budget has no retry in time; already logged. */
  | { kind: 'no-retry'; retryAfterMs: Millis };

/** The targets of a version may be back after a restart. */
export const NO_VERSION_REFUSAL: SlotRefusal = { kind: 'no-version', retryAfterMs: 1_000 };
