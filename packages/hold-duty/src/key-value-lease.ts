/** A duty lease as a lease of the key-value service. */
import type { KeyValueStore, Lease, PortCall } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { DutyLease, LeaseAnswer } from './duty-lease.js';

/** Dependencies of the lease. */
export interface KeyValueLeaseOptions {
  store: KeyValueStore;
  name: string;
  /** Unique id of this process; a restarted process is another holder. */
  incarnation: string;
  /** Time after which a silent holder loses the lease. */
  ttlMs: Millis;
  clock: Clock;
}

/** Uses the lease's epoch as token, which the service raises with each change of holder. */
export default class KeyValueLease implements DutyLease {
  constructor(private readonly options: KeyValueLeaseOptions) {}

  /** Acquires or renews the lease in one call. */
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
