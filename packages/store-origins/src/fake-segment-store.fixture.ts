/** A store whose items each VM of a test sees at once, with switches for its faults. */
import { PortFault, type RequestSent } from '@limelead/errors';
import type { ConditionalStore } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import { decodeSegment } from './segment-item.js';
import type StoredOrigins from './stored-origins.js';

export default class FakeSegmentStore implements Pick<ConditionalStore, 'grantLease' | 'write'> {
  readonly items = new Map<string, { value: Buffer; lease: number | undefined }>();
  readonly views: StoredOrigins[] = [];
  /** Lifetimes in milliseconds by lease. */
  readonly leases = new Map<number, number>();
  /** Calls, also those that failed. */
  calls = 0;
  /** While set, every call fails; `maybe`: the write takes effect all the same. */
  failure: RequestSent | undefined;
  private lastLease = 0;

  grantLease: ConditionalStore['grantLease'] = (ttlMs) => () => {
    this.calls += 1;
    if (this.failure === 'no') {
      return Promise.resolve(E.left(new PortFault('refused', 'no', '429')));
    }
    this.lastLease += 1;
    this.leases.set(this.lastLease, ttlMs);
    return Promise.resolve(E.right({ lease: this.lastLease, ttlMs }));
  };

  write: ConditionalStore['write'] = (_, writes) => () => {
    this.calls += 1;
    if (this.failure === 'no') {
      return Promise.resolve(E.left(new PortFault('refused', 'no', '429')));
    }
    for (const write of writes) {
      if (write.kind !== 'put' || !this.leases.has(write.lease ?? 0)) {
        return Promise.resolve(E.right({ kind: 'lease-gone' }));
      }
      this.items.set(write.key, { value: write.value, lease: write.lease });
      const origins = decodeSegment(write.value);
      this.views.forEach((view) => origins && view.put(write.key, origins));
    }
    return Promise.resolve(
      this.failure === 'maybe'
        ? E.left(new PortFault('timeout', 'maybe', 'timeout'))
        : E.right({ kind: 'written', revision: this.calls }),
    );
  };

  endLeases(): void {
    this.leases.clear();
    this.items.forEach((_, key) => this.views.forEach((view) => view.remove(key)));
    this.items.clear();
  }
}
