/** Reason why a request is refused at once because it cannot get a slot before its deadline. */
import type { CoolingRefusal } from '@limelead/track-backpressure';
import type { PermitRefusal } from '@limelead/types';

export type SlotRefusal = CoolingRefusal | ({ kind: 'no-permit' } & PermitRefusal);
