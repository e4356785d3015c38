/** Types of the key-value service's answers. */
import type { leaseCodec, storedValueCodec, swapOutcomeCodec } from '@limelead/outside-protocol';
import type * as t from 'io-ts';

export type StoredValue = t.TypeOf<typeof storedValueCodec>;

/** Result of a compare-and-swap. */
export type SwapOutcome = t.TypeOf<typeof swapOutcomeCodec>;

export type Lease = t.TypeOf<typeof leaseCodec>;
