/** Reads, compacts and swaps the head. */
import {
  applyChanges,
  EMPTY_CONFIGURATION,
  buildConfiguration,
  type Configuration,
} from '@limelead/configuration-state';
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, PortCall, StoredValue } from '@limelead/ports';
import type { Change, Revision } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { decodeHead, type Head } from './head.js';
import { archiveChanges } from './history.js';
import { HEAD_KEY } from './keys.js';
import { readSnapshot, writeSnapshot } from './snapshot.js';

/** Number of changes in the head above which older ones are archived. */
export const MAX_HEAD_CHANGES = 96;
/** Length of the head above which older changes are archived. */
const MAX_HEAD_CHARACTERS = 400_000;

/** The configuration and its newest changes, as read from the service. */
export interface StoredConfiguration {
  configuration: Configuration;
  changes: Change[];
  /** Version of the head key; a watch continues from it. */
  headVersion: number;
  /** Revision in the service; lower than the configuration's if the service was restored from a backup. */
  storedRevision: Revision;
}

/** The head with the version of its key. */
export interface VersionedHead {
  head: Head;
  version: number;
}

/** Combines a head with its configuration. */
export function toStoredConfiguration(
  configuration: Configuration,
  { head, version }: VersionedHead,
): StoredConfiguration {
  const { changes, revision: storedRevision } = head;
  return { configuration, changes, headVersion: version, storedRevision };
}

/** Reads the head and loads what `known` lacks. */
export function readStoredConfiguration(
  store: KeyValueStore,
  known: Configuration,
  call: PortCall<StoredValue> = store.get(HEAD_KEY),
): PortCall<StoredConfiguration> {
  return async () => {
    const found = await readHead(call)();
    return E.isLeft(found) ? found : loadStoredConfiguration(store, known, found.right)();
  };
}

/** Loads the configuration of a head. */
export function loadStoredConfiguration(
  store: KeyValueStore,
  known: Configuration,
  read: VersionedHead,
): PortCall<StoredConfiguration> {
  return async () => {
    const configuration = await loadConfiguration(store, known, read.head)();
    return E.isLeft(configuration)
      ? configuration
      : E.right(toStoredConfiguration(configuration.right, read));
  };
}

/** Decodes the head that a call returns. */
export function readHead(call: PortCall<StoredValue>): PortCall<VersionedHead> {
  return async () => {
    const stored = await call();
    if (E.isLeft(stored)) {
      return stored;
    }
    const head = decodeHead(stored.right.value);
    return head === undefined
      ? E.left(new PortFault('invalid', 'no', 'the head of the configuration is invalid'))
      : E.right({ head, version: stored.right.version });
  };
}

/** Updates the known configuration; reads the snapshot only if the head lacks some of the missing changes. */
function loadConfiguration(
  store: KeyValueStore,
  known: Configuration,
  head: Head,
): PortCall<Configuration> {
  return async () => {
    const caughtUp = applyChanges(known, head.changes);
    if (caughtUp.revision >= head.revision) {
      return E.right(caughtUp);
    }
    const { revision } = head.snapshot;
    if (revision === 0) {
      return E.right(applyChanges(EMPTY_CONFIGURATION, head.changes));
    }
    const snapshot = await readSnapshot(store, head.snapshot)();
    if (E.isLeft(snapshot)) {
      return snapshot;
    }
    const { resources, removals } = snapshot.right;
    return E.right(applyChanges(buildConfiguration(revision, resources, removals), head.changes));
  };
}

/** Returns the head with one more change. */
export function appendToHead(head: Head, change: Change): Head {
  return { ...head, revision: change.revision, changes: [...head.changes, change] };
}

/** If the head is large, writes a snapshot and archives old changes; returns the resulting head. */
export function compactHead(
  store: KeyValueStore,
  head: Head,
  configuration: Configuration,
): PortCall<Head> {
  return async () => {
    const isLarge = JSON.stringify(head).length > MAX_HEAD_CHARACTERS;
    if (head.changes.length <= MAX_HEAD_CHANGES && !isLarge) {
      return E.right(head);
    }
    const snapshot = await writeSnapshot(store, configuration)();
    if (E.isLeft(snapshot)) {
      return snapshot;
    }
    return archiveChanges(store, { ...head, snapshot: snapshot.right })();
  };
}

/** Replaces the head; returns its new version, or undefined if another VM replaced it first. */
export function swapHead(
  store: KeyValueStore,
  version: number,
  head: Head,
): PortCall<number | undefined> {
  return async () => {
    const outcome = await store.compareAndSwap(HEAD_KEY, version, JSON.stringify(head))();
    if (E.isLeft(outcome)) {
      return outcome;
    }
    return E.right(outcome.right.kind === 'swapped' ? outcome.right.version : undefined);
  };
}
