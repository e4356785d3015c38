/** A duty lease as a key with a lease in a store with conditional writes. */
import type { ConditionalStore, PortCall, StoreEntry } from '@limelead/ports';
import type { Clock, Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import type { DutyLease, LeaseAnswer } from './duty-lease.js';

const holderCodec = t.type({ vm: t.string, incarnation: t.string, lease: t.number });

/** Dependencies of the lease. */
export interface ConditionalStoreLeaseOptions {
  store: ConditionalStore;
  key: string;
  /** Name of the VM, for operators who inspect the store. */
  vm: string;
  /** Unique id of this process; a restarted process is another holder. */
  incarnation: string;
  /** Time after which a silent holder loses the lease. */
  ttlMs: Millis;
  clock: Clock;
}

/** Uses the revision of the acquiring write as token, since revisions only increase. */
export default class ConditionalStoreLease implements DutyLease {
  private lease: number | undefined;
  private token = 0;
  private leaseTtlMs: Millis;

  constructor(private readonly options: ConditionalStoreLeaseOptions) {
    this.leaseTtlMs = options.ttlMs;
  }

  /** Reads first, since an earlier write with a lost answer may have been carried out. */
  acquire(): PortCall<LeaseAnswer> {
    return async () => {
      const entry = await this.options.store.read(this.options.key)();
      if (E.isLeft(entry)) {
        return entry;
      }
      return entry.right === undefined ? this.write() : this.readHolder(entry.right);
    };
  }

  renew(): PortCall<LeaseAnswer> {
    return async () => {
      const sentAtMs = this.options.clock.now();
      const renewed = await this.options.store.renewLease(this.lease ?? 0)();
      return E.map((isAlive: boolean): LeaseAnswer => {
        const { token, leaseTtlMs } = this;
        return isAlive ? { kind: 'ours', token, sentAtMs, ttlMs: leaseTtlMs } : { kind: 'free' };
      })(renewed);
    };
  }

  /** Ends the lease, which deletes the key and makes a late write fail. */
  release(): PortCall<void> {
    return async () => {
      const { lease } = this;
      this.lease = undefined;
      return lease === undefined ? E.right(undefined) : this.options.store.endLease(lease)();
    };
  }

  /** Renews the lease if the key belongs to this process. */
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
    // Not written by this program, so another holder has the lease.
    return undefined;
  }
}
