/** Reads the head with what it refers to, and swaps it. */
import {
  applyChanges,
  EMPTY_CONFIGURATION,
  fromResources,
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

/** Changes in the head at which older ones are archived. */
export const MAX_HEAD_CHANGES = 96;
/** Characters of the head at which older changes are archived early. */
const MAX_HEAD_CHARACTERS = 400_000;

/** The configuration and the newest changes, as read. */
export interface StoredConfiguration {
  configuration: Configuration;
  changes: Change[];
  /** Version of the head key, for a following watch. */
  headVersion: number;
  /** Revision in the service; below the configuration's own where the service was restored. */
  storedRevision: Revision;
}

/** The head with the version of its key. */
export interface VersionedHead {
  head: Head;
  version: number;
}

/** Puts a head and the configuration that it stands for together. */
export function toStoredConfiguration(
  configuration: Configuration,
  { head, version }: VersionedHead,
): StoredConfiguration {
  const { changes, revision: storedRevision } = head;
  return { configuration, changes, headVersion: version, storedRevision };
}

/** Reads the head and loads what is not yet known. */
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

/** Loads what a head stands for. */
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

/** Decodes the head that a call gives. */
export function readHead(call: PortCall<StoredValue>): PortCall<VersionedHead> {
  return async () => {
    const stored = await call();
    if (E.isLeft(stored)) {
      return stored;
    }
    const head = decodeHead(stored.right.value);
    return head === undefined
      ? E.left(new PortFault('invalid', 'no', 'the head of the configuration does not hold'))
      : E.right({ head, version: stored.right.version });
  };
}

/** Catches up from what is known; reads the snapshot only where the head's changes do not reach back. */
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
    return E.right(applyChanges(fromResources(revision, resources, removals), head.changes));
  };
}

/** The head with one more change. */
export function appendToHead(head: Head, change: Change): Head {
  return { ...head, revision: change.revision, changes: [...head.changes, change] };
}

/** Moves old changes into the history behind a snapshot, before the head gets too large. */
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

/** Gives the new version, or undefined where somebody else was faster. */
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
