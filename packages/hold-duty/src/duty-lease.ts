/** Interface of the lease of a duty. */
import type { PortCall } from '@limelead/ports';
import type { Millis } from '@limelead/types';

/** State of the lease by a certain answer of the store. */
export type LeaseAnswer =
  | {
      kind: 'ours';
      /** Fencing token; higher for each later holder. */
      token: number;
      /** Steady time when the last call was sent; the lease lasts at least from then on. */
      sentAtMs: Millis;
      /** Duration of the lease from then on, as granted by the store. */
      ttlMs: Millis;
    }
  /** Another process holds the lease. */
  | { kind: 'taken' }
  /** No process holds the lease, and it was not acquired now. */
  | { kind: 'free' };

/** A lease that one process at a time holds. Calls must not overlap. */
export interface DutyLease {
  /**
   * Acquires the lease if it is free, or confirms it if an earlier attempt with a lost answer
   * acquired it.
   */
  acquire(): PortCall<LeaseAnswer>;
  /** Extends the lease. */
  renew(): PortCall<LeaseAnswer>;
  /** Releases the lease, including one that an earlier attempt may still acquire. */
  release(): PortCall<void>;
}
