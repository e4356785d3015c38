/** The lease that a duty hangs on, as both stores fill it. */
import type { PortCall } from '@limelead/ports';
import type { Millis } from '@limelead/types';

/** How the seat of a duty stands, by a read or write that the store answered for certain. */
export type LeaseAnswer =
  | {
      kind: 'ours';
      /** Higher for each later holder. */
      token: number;
      /** Steady time from which the lease surely lasts: when its last call was sent. */
      sentAtMs: Millis;
      /** Time that it lasts from then, as the store decided. */
      ttlMs: Millis;
    }
  /** Another holds it. */
  | { kind: 'taken' }
  /** Nobody does, and it was not taken now. */
  | { kind: 'free' };

/** A seat that one process at a time holds. Calls are made one at a time. */
export interface DutyLease {
  /** Takes it where it is free, and finds it taken where an earlier try did that unheard. */
  acquire(): PortCall<LeaseAnswer>;
  /** Makes it last longer. */
  renew(): PortCall<LeaseAnswer>;
  /** Gives it up, with whatever earlier tries may still bring. */
  release(): PortCall<void>;
}
