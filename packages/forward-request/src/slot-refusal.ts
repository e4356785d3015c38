/** Why a request that waits for a slot gets none in time, where that is certain at once. */
import type { CooldownRefusal } from '@limelead/track-backpressure';
import type { PermitRefusal } from '@limelead/types';

export type SlotRefusal = CooldownRefusal | ({ kind: 'no-permit' } & PermitRefusal);
