/** Shapes of the key-value service's answers. */
import type { leaseCodec, storedValueCodec, swapOutcomeCodec } from '@limelead/outside-protocol';
import type * as t from 'io-ts';

/** A value with its version. */
export type StoredValue = t.TypeOf<typeof storedValueCodec>;

/** What became of a compare-and-swap. */
export type SwapOutcome = t.TypeOf<typeof swapOutcomeCodec>;

/** A lease. */
export type Lease = t.TypeOf<typeof leaseCodec>;
