/** Applies one change; an ambiguous outcome is resolved by reading. */
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
  loadResult,
  readHead,
  swapHead,
  toResult,
  type ReadResult,
} from './stored-head.js';

const MAX_TRIES = 8;
const RETRY_DELAY_MS = 100;

/** What applying needs. */
export interface ApplyDependencies {
  store: KeyValueStore;
  clock: Clock;
  timers: Timers;
}

/** A change, who asks for it, and what this VM already knows. */
export interface ApplyOrder {
  known: Configuration;
  request: ChangeRequest;
  operator: string;
}

type TryOutcome =
  | { kind: 'accepted'; result: ReadResult }
  | { kind: 'refused'; refusal: ChangeRefusal }
  | { kind: 'lost-race' }
  /** `mayBeAccepted` where the swap itself got no reply. */
  | { kind: 'fault'; mayBeAccepted: boolean };

/**
 * A lost reply leaves open whether the swap took effect, and a delayed request
 * may still take effect. Trying again resolves both: the change id tells an
 * accepted change, and a swap at the same version can succeed only once.
 */
export default async function applyChange(
  dependencies: ApplyDependencies,
  order: ApplyOrder,
): Promise<E.Either<ChangeRefusal, ReadResult>> {
  let mayBeAccepted = false;
  for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
    const outcome = await tryOnce(dependencies, order);
    switch (outcome.kind) {
      case 'accepted':
        return E.right(outcome.result);
      case 'refused':
        return E.left(outcome.refusal);
      case 'lost-race':
        break;
      case 'fault':
        mayBeAccepted ||= outcome.mayBeAccepted;
        await delay(dependencies.timers, RETRY_DELAY_MS * tries);
    }
  }
  return E.left(
    mayBeAccepted
      ? new LimeleadError('outcome-unknown', 'look for the change id in the history')
      : new LimeleadError('store-unavailable', "the platform's service does not answer"),
  );
}

async function tryOnce(
  { store, clock }: ApplyDependencies,
  { known, request, operator }: ApplyOrder,
): Promise<TryOutcome> {
  const found = await readHead(store.get(HEAD_KEY))();
  if (E.isLeft(found)) {
    return fault(found.left, false);
  }
  const loaded = await loadResult(store, known, found.right)();
  if (E.isLeft(loaded)) {
    return fault(loaded.left, false);
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
    return fault(next.left, false);
  }
  const swapped = await swapHead(store, version, next.right)();
  if (E.isLeft(swapped)) {
    return fault(swapped.left, true);
  }
  if (swapped.right === undefined) {
    return { kind: 'lost-race' };
  }
  if (next.right.snapshot.revision !== head.snapshot.revision) {
    void deleteSnapshot(store, head.snapshot);
  }
  return {
    kind: 'accepted',
    result: toResult(changed, { head: next.right, version: swapped.right }),
  };
}

function fault({ sent }: PortFault, wasSwap: boolean): TryOutcome {
  return { kind: 'fault', mayBeAccepted: wasSwap && sent === 'maybe' };
}
