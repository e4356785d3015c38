/** The key-value service behind the port itself, without HTTP; for tests of single packages. */
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, PortCall } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type { KeyValueState } from './key-value-state.js';

/** Switches for the faults of the service. */
export interface StoreFaults {
  isUnavailable: boolean;
  /** Decides for each swap whether it is refused, or carried out without a reply. */
  decideSwap: () => 'ok' | 'refused' | 'reply-lost';
}

/** Creates a store on a state; several stores on one state are several clients. */
export default function createInProcessStore(
  state: KeyValueState,
  faults: StoreFaults = { isUnavailable: false, decideSwap: () => 'ok' },
): KeyValueStore {
  const call =
    <Value>(run: () => Value): PortCall<Value> =>
    async () =>
      faults.isUnavailable ? E.left(new PortFault('refused', 'no', 'out')) : E.right(run());

  return {
    get: (key) => call(() => state.get(key)),
    compareAndSwap: (key, expectedVersion, value) => async () => {
      const fate = faults.isUnavailable ? 'refused' : faults.decideSwap();
      if (fate === 'refused') {
        return E.left(new PortFault('refused', 'no', 'out'));
      }
      const outcome = state.compareAndSwap(key, expectedVersion, value);
      return fate === 'ok'
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
