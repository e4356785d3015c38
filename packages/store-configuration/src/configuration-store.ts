/** Reads, changes and watches the configuration in the platform's key-value service. */
import type { ChangeRefusal, Configuration } from '@limelead/configuration-state';
import type { KeyValueStore, PortCall } from '@limelead/ports';
import type { Change, ChangeRequest, Clock, Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import applyChange from './apply-change.js';
import type { Head } from './head.js';
import { listChanges } from './history.js';
import { HEAD_KEY } from './keys.js';
import { writeSnapshot } from './snapshot.js';
import {
  loadStoredConfiguration,
  MAX_HEAD_CHANGES,
  readHead,
  readStoredConfiguration,
  swapHead,
  toStoredConfiguration,
  type StoredConfiguration,
} from './stored-head.js';

/** Access to the configuration in the platform's service. */
export interface ConfigurationStore {
  /** Reads the configuration; loads only what `known` lacks. */
  read(known: Configuration): PortCall<StoredConfiguration>;
  /** Waits until the head has a higher version or the wait ends, then reads the configuration. */
  watch(known: Configuration, headVersion: number, waitMs: number): PortCall<StoredConfiguration>;
  /** Applies a change; retries if the outcome is unknown. */
  apply(
    known: Configuration,
    request: ChangeRequest,
    operator: string,
  ): Promise<E.Either<ChangeRefusal, StoredConfiguration>>;
  /** Writes a newer configuration back after the service was restored from a backup. */
  restore(known: Configuration, recent: readonly Change[]): PortCall<StoredConfiguration>;
  /** Lists changes below a revision, newest first. */
  listChanges(before: number, limit: number): PortCall<Change[]>;
}

/** Creates a configuration store on a key-value store. */
export default function createConfigurationStore(
  store: KeyValueStore,
  clock: Clock,
  timers: Timers,
): ConfigurationStore {
  return {
    read: (known) => readStoredConfiguration(store, known),
    watch: (known, headVersion, waitMs) =>
      readStoredConfiguration(store, known, store.watch(HEAD_KEY, headVersion, waitMs)),
    apply: (known, request, operator) =>
      applyChange({ store, clock, timers }, { known, request, operator }),
    restore: (known, recent) => restore(store, known, recent),
    listChanges: (before, limit) => async () => {
      const found = await readHead(store.get(HEAD_KEY))();
      return E.isLeft(found) ? found : listChanges(store, found.right.head, before, limit)();
    },
  };
}

function restore(
  store: KeyValueStore,
  known: Configuration,
  recent: readonly Change[],
): PortCall<StoredConfiguration> {
  return async () => {
    const found = await readHead(store.get(HEAD_KEY))();
    if (E.isLeft(found)) {
      return found;
    }
    const { head, version } = found.right;
    if (head.revision >= known.revision) {
      return loadStoredConfiguration(store, known, found.right)();
    }
    const snapshot = await writeSnapshot(store, known)();
    if (E.isLeft(snapshot)) {
      return snapshot;
    }
    const newer: Head = {
      revision: known.revision,
      snapshot: snapshot.right,
      archived: head.archived,
      changes: recent.slice(-MAX_HEAD_CHANGES),
    };
    const swapped = await swapHead(store, version, newer)();
    if (E.isLeft(swapped)) {
      return swapped;
    }
    return swapped.right === undefined
      ? readStoredConfiguration(store, known)()
      : E.right(toStoredConfiguration(known, { head: newer, version: swapped.right }));
  };
}
