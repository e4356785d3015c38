/** Why a request that waits for a slot gets none in time, where that is certain at once. */
import type { CoolingRefusal } from '@limelead/track-backpressure';
import type { PermitRefusal } from '@limelead/types';

export type SlotRefusal = CoolingRefusal | ({ kind: 'no-permit' } & PermitRefusal);
