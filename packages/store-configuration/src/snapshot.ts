/** Snapshots of the snapshot configuration, in parts below the service's size limit of a value. */
import {
  removalCodec,
  versionedResourceCodec,
  type Configuration,
  type Removal,
} from '@limelead/configuration-state';
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, PortCall } from '@limelead/ports';
import type { VersionedResource } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { parseJson, type SnapshotReference } from './head.js';
import { snapshotKey } from './keys.js';

/** Half of the service's limit of a megabyte, since its encoding enlarges values. */
const MAX_PART_CHARACTERS = 500_000;

/** A part of a snapshot. */
export interface SnapshotPart {
  resources: VersionedResource[];
  removals: Removal[];
}

const partCodec = t.type({
  resources: t.array(versionedResourceCodec),
  removals: t.array(removalCodec),
}) as unknown as t.Type<SnapshotPart, unknown>;

/** Splits a configuration into parts of limited size. */
export function splitIntoParts(
  configuration: Configuration,
  maxCharacters: number = MAX_PART_CHARACTERS,
): SnapshotPart[] {
  const parts: SnapshotPart[] = [];
  let part: SnapshotPart = { resources: [], removals: [] };
  let size = 0;
  const reserve = (item: object): void => {
    const itemSize = JSON.stringify(item).length;
    if (size > 0 && size + itemSize > maxCharacters) {
      parts.push(part);
      part = { resources: [], removals: [] };
      size = 0;
    }
    size += itemSize;
  };
  for (const resource of configuration.resources.values()) {
    reserve(resource);
    part.resources.push(resource);
  }
  for (const removal of configuration.removals.values()) {
    reserve(removal);
    part.removals.push(removal);
  }
  return [...parts, part];
}

/** Writes all parts; parts that another VM has already written are kept. */
export function writeSnapshot(
  store: KeyValueStore,
  configuration: Configuration,
): PortCall<SnapshotReference> {
  return async () => {
    const { revision } = configuration;
    const parts = splitIntoParts(configuration);
    for (const [index, part] of parts.entries()) {
      const written = await store.compareAndSwap(
        snapshotKey(revision, index),
        0,
        JSON.stringify(part),
      )();
      if (E.isLeft(written)) {
        return written;
      }
    }
    return E.right({ revision, parts: parts.length });
  };
}

/** Reads all parts of a snapshot and joins them. */
export function readSnapshot(
  store: KeyValueStore,
  { revision, parts }: SnapshotReference,
): PortCall<SnapshotPart> {
  return async () => {
    const snapshot: SnapshotPart = { resources: [], removals: [] };
    for (let index = 0; index < parts; index += 1) {
      const stored = await store.get(snapshotKey(revision, index))();
      if (E.isLeft(stored)) {
        return stored;
      }
      const part = partCodec.decode(parseJson(stored.right.value));
      if (E.isLeft(part)) {
        return E.left(new PortFault('invalid', 'maybe', 'a snapshot part is invalid'));
      }
      snapshot.resources.push(...part.right.resources);
      snapshot.removals.push(...part.right.removals);
    }
    return E.right(snapshot);
  };
}

/** Deletes a snapshot that no head refers to; ignores failures. */
export async function deleteSnapshot(
  store: KeyValueStore,
  { revision, parts }: SnapshotReference,
): Promise<void> {
  for (let index = 0; index < parts; index += 1) {
    const key = snapshotKey(revision, index);
    const stored = await store.get(key)();
    if (E.isRight(stored)) {
      await store.delete(key, stored.right.version)();
    }
  }
}
