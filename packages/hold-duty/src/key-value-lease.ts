/** A seat that is a lease of the key-value service. */
import type { KeyValueStore, Lease, PortCall } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { DutyLease, LeaseAnswer } from './duty-lease.js';

/** What a seat needs. */
export interface KeyValueLeaseOptions {
  store: KeyValueStore;
  /** Name of the lease. */
  name: string;
  /** Unique to this start of the process: a restart is another holder. */
  incarnation: string;
  /** Time after which a holder that fell silent loses the seat. */
  ttlMs: Millis;
  clock: Clock;
}

/** The token is the lease's epoch, which the service raises with each change of holder. */
export default class KeyValueLease implements DutyLease {
  constructor(private readonly options: KeyValueLeaseOptions) {}

  /** One call takes and renews, and tells who holds the lease. */
  acquire(): PortCall<LeaseAnswer> {
    return async () => {
      const { store, name, incarnation, ttlMs, clock } = this.options;
      const sentAtMs = clock.now();
      const lease = await store.acquireLease(name, incarnation, ttlMs)();
      return E.map(({ holder, epoch }: Lease): LeaseAnswer => {
        const isOurs = holder === incarnation;
        return isOurs ? { kind: 'ours', token: epoch, sentAtMs, ttlMs } : { kind: 'taken' };
      })(lease);
    };
  }

  renew(): PortCall<LeaseAnswer> {
    return this.acquire();
  }

  release(): PortCall<void> {
    const { store, name, incarnation } = this.options;
    return store.releaseLease(name, incarnation);
  }
}
