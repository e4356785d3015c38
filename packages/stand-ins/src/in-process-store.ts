/** An in-process implementation of the key-value store's port, for tests of single packages. */
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, PortCall } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type { KeyValueState } from './key-value-state.js';

/** Faults of the store. */
export interface StoreFaults {
  isUnavailable: boolean;
  /** Called for each compare-and-swap: `refused` skips it, `reply-lost` applies it without a reply. */
  decideSwap: () => 'ok' | 'refused' | 'reply-lost';
}

/** Creates a client of a key-value state; several clients can share one state. */
export default function createInProcessStore(
  state: KeyValueState,
  faults: StoreFaults = { isUnavailable: false, decideSwap: () => 'ok' },
): KeyValueStore {
  const call =
    <Value>(run: () => Value): PortCall<Value> =>
    async () =>
      faults.isUnavailable
        ? E.left(new PortFault('refused', 'no', 'the store is unavailable'))
        : E.right(run());

  return {
    get: (key) => call(() => state.get(key)),
    compareAndSwap: (key, expectedVersion, value) => async () => {
      const decision = faults.isUnavailable ? 'refused' : faults.decideSwap();
      if (decision === 'refused') {
        return E.left(new PortFault('refused', 'no', 'the store is unavailable'));
      }
      const outcome = state.compareAndSwap(key, expectedVersion, value);
      return decision === 'ok'
        ? E.right(outcome)
        : E.left(new PortFault('broken', 'maybe', 'the reply was lost'));
    },
    delete: (key, expectedVersion) => call(() => state.delete(key, expectedVersion)),
    watch: (key, afterVersion, waitMs) => async () =>
      E.right(await state.watch(key, afterVersion, waitMs)),
    acquireLease: (name, holder, ttlMs) => call(() => state.acquireLease(name, holder, ttlMs)),
    releaseLease: (name, holder) => call(() => state.releaseLease(name, holder)),
  };
}
