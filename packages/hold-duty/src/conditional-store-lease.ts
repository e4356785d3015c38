/** A seat in a store with conditional writes: one key of ours that hangs on a lease. */
import type { ConditionalStore, PortCall, StoreEntry } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import type { DutyLease, LeaseAnswer } from './duty-lease.js';

const holderCodec = t.type({ vm: t.string, incarnation: t.string, lease: t.number });

/** What a seat needs. */
export interface ConditionalStoreLeaseOptions {
  store: ConditionalStore;
  key: string;
  /** Name of the VM, for operators who look into the store. */
  vm: string;
  /** Unique to this start of the process: a restart is another holder. */
  incarnation: string;
  /** Time after which a holder that fell silent loses the seat. */
  ttlMs: Millis;
  clock: Clock;
}

/** The token is the revision of the write that took the seat, which the store only lets rise. */
export default class ConditionalStoreLease implements DutyLease {
  private lease: number | undefined;
  private token = 0;
  private leaseTtlMs: Millis;

  constructor(private readonly options: ConditionalStoreLeaseOptions) {
    this.leaseTtlMs = options.ttlMs;
  }

  /** Reads first: a write whose answer was lost may have been done meanwhile. */
  acquire(): PortCall<LeaseAnswer> {
    return async () => {
      const found = await this.options.store.read(this.options.key)();
      if (E.isLeft(found)) {
        return found;
      }
      return found.right === undefined ? this.write() : this.readHolder(found.right);
    };
  }

  renew(): PortCall<LeaseAnswer> {
    return async () => {
      const sentAtMs = this.options.clock.now();
      const renewed = await this.options.store.renewLease(this.lease ?? 0)();
      return E.map((stands: boolean): LeaseAnswer => {
        const { token, leaseTtlMs } = this;
        return stands ? { kind: 'ours', token, sentAtMs, ttlMs: leaseTtlMs } : { kind: 'free' };
      })(renewed);
    };
  }

  /** The key goes with its lease, and a write that is still on its way finds none. */
  release(): PortCall<void> {
    return async () => {
      const { lease } = this;
      this.lease = undefined;
      return lease === undefined ? E.right(undefined) : this.options.store.endLease(lease)();
    };
  }

  /** A key of this process that stands lasts as long as its lease, which a renewal tells. */
  private async readHolder({ value, revision }: StoreEntry): ReturnType<PortCall<LeaseAnswer>> {
    const holder = decode(value);
    if (holder?.incarnation !== this.options.incarnation) {
      return E.right({ kind: 'taken' });
    }
    this.lease = holder.lease;
    this.token = revision;
    return this.renew()();
  }

  private async write(): ReturnType<PortCall<LeaseAnswer>> {
    const { store, key, vm, incarnation, ttlMs, clock } = this.options;
    const sentAtMs = clock.now();
    const granted = await store.grantLease(ttlMs)();
    if (E.isLeft(granted)) {
      return granted;
    }
    const { lease } = granted.right;
    this.lease = lease;
    this.leaseTtlMs = granted.right.ttlMs;
    const value = Buffer.from(JSON.stringify({ vm, incarnation, lease }));
    const written = await store.write(
      [{ key, revision: 0 }],
      [{ kind: 'put', key, value, lease }],
    )();
    if (E.isLeft(written)) {
      return written;
    }
    if (written.right.kind !== 'written') {
      return E.right({ kind: written.right.kind === 'mismatch' ? 'taken' : 'free' });
    }
    this.token = written.right.revision;
    return E.right({ kind: 'ours', token: this.token, sentAtMs, ttlMs: this.leaseTtlMs });
  }
}

function decode(value: Buffer): t.TypeOf<typeof holderCodec> | undefined {
  try {
    const decoded = holderCodec.decode(JSON.parse(value.toString()));
    return E.isRight(decoded) ? decoded.right : undefined;
  } catch {
    // Not of this program: another holds the seat, as the caller tells.
    return undefined;
  }
}
