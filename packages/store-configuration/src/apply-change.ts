/** Applies one change with retries. */
import {
  applyChanges,
  planChange,
  type ChangeRefusal,
  type Configuration,
} from '@limelead/configuration-state';
import { LimeleadError, PortFault } from '@limelead/errors';
import type { KeyValueStore } from '@limelead/ports';
import { delay, type ChangeRequest, type Clock, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { HEAD_KEY } from './keys.js';
import { deleteSnapshot } from './snapshot.js';
import {
  appendToHead,
  compactHead,
  loadStoredConfiguration,
  readHead,
  swapHead,
  toStoredConfiguration,
  type StoredConfiguration,
} from './stored-head.js';

const MAX_ATTEMPTS = 8;
const RETRY_DELAY_MS = 100;

/** The store, clock and timers used to apply a change. */
export interface ApplyDependencies {
  store: KeyValueStore;
  clock: Clock;
  timers: Timers;
}

/** A change, the operator who requests it, and the configuration that this VM has. */
export interface ApplyInput {
  known: Configuration;
  request: ChangeRequest;
  operator: string;
}

type AttemptOutcome =
  | { kind: 'accepted'; result: StoredConfiguration }
  | { kind: 'refused'; refusal: ChangeRefusal }
  | { kind: 'lost-race' }
  /** `mayBeAccepted` if the swap may have been executed without a reply. */
  | { kind: 'fault'; mayBeAccepted: boolean };

/**
 * Applies a change. If the reply to the swap is lost, the change may have been accepted, or may
 * still be. A retry resolves both: it finds an accepted change by its id, and only one swap at
 * a version can succeed.
 */
export default async function applyChange(
  dependencies: ApplyDependencies,
  order: ApplyInput,
): Promise<E.Either<ChangeRefusal, StoredConfiguration>> {
  let mayBeAccepted = false;
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const outcome = await attemptChange(dependencies, order);
    switch (outcome.kind) {
      case 'accepted':
        return E.right(outcome.result);
      case 'refused':
        return E.left(outcome.refusal);
      case 'lost-race':
        break;
      case 'fault':
        mayBeAccepted ||= outcome.mayBeAccepted;
        await delay(dependencies.timers, RETRY_DELAY_MS * attempt);
    }
  }
  return E.left(
    mayBeAccepted
      ? new LimeleadError('outcome-unknown', 'look for the change id in the history')
      : new LimeleadError('store-unavailable', 'the key-value store does not answer'),
  );
}

async function attemptChange(
  { store, clock }: ApplyDependencies,
  { known, request, operator }: ApplyInput,
): Promise<AttemptOutcome> {
  const found = await readHead(store.get(HEAD_KEY))();
  if (E.isLeft(found)) {
    return toFaultOutcome(found.left, false);
  }
  const loaded = await loadStoredConfiguration(store, known, found.right)();
  if (E.isLeft(loaded)) {
    return toFaultOutcome(loaded.left, false);
  }
  const { head, version } = found.right;
  if (head.changes.some(({ changeId }) => changeId === request.changeId)) {
    return { kind: 'accepted', result: loaded.right };
  }
  const { configuration } = loaded.right;
  const planned = planChange(configuration, request, { operator, atMs: clock.now() });
  if (E.isLeft(planned)) {
    return { kind: 'refused', refusal: planned.left };
  }
  const changed = applyChanges(configuration, [planned.right]);
  const next = await compactHead(store, appendToHead(head, planned.right), changed)();
  if (E.isLeft(next)) {
    return toFaultOutcome(next.left, false);
  }
  const swapped = await swapHead(store, version, next.right)();
  if (E.isLeft(swapped)) {
    return toFaultOutcome(swapped.left, true);
  }
  if (swapped.right === undefined) {
    return { kind: 'lost-race' };
  }
  if (next.right.snapshot.revision !== head.snapshot.revision) {
    void deleteSnapshot(store, head.snapshot);
  }
  return {
    kind: 'accepted',
    result: toStoredConfiguration(changed, { head: next.right, version: swapped.right }),
  };
}

function toFaultOutcome({ sent }: PortFault, wasSwap: boolean): AttemptOutcome {
  return { kind: 'fault', mayBeAccepted: wasSwap && sent === 'maybe' };
}
