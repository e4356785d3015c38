/** Events that one generation handles in turn. */
import type { AttemptEvent } from './attempts.js';
import type { ReleaseSlot } from './recovery-slots.js';
import type { HeldSilence } from './successor-search.js';

/** Event of an attempt, the VM or a timer. */
export type GenerationEvent =
  | AttemptEvent
  | { kind: 'keep-alive' }
  | { kind: 'vm-stopping' }
  /** A target for the successor of a silent attempt is to be selected. */
  | { kind: 'successor-due'; silence: HeldSilence; release: ReleaseSlot };
