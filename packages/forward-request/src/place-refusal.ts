/** Why a request that waits for a place gets none in time, where that is certain at once. */
import type { CoolingRefusal } from '@limelead/track-backpressure';
import type { PermitRefusal } from '@limelead/types';

export type PlaceRefusal = CoolingRefusal | ({ kind: 'no-permit' } & PermitRefusal);
