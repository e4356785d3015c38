/** Reads and writes the record of a service in the store. */
import type { ConditionalStore } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type { RecordedVersions } from './recorded-versions.js';
import encodeVersions, { decodeVersions } from './version-item.js';

/** Result of a write. */
export type RecordWrite =
  | { outcome: 'written'; revision: number }
  /** The record has another revision; nothing was written. */
  | { outcome: 'mismatch' }
  /** The store did not take it, or its answer was lost. */
  | { outcome: 'failed'; reason: string };

/** Reads the record at a key; undefined if there is no readable one, or no answer. */
export async function readRecord(
  store: ConditionalStore,
  key: string,
): Promise<RecordedVersions | undefined> {
  const entry = await store.read(key)();
  if (E.isLeft(entry) || entry.right === undefined) {
    return undefined;
  }
  const versions = decodeVersions(entry.right.value);
  return versions && { versions, revision: entry.right.revision };
}

/** Writes the versions in place of the record of that revision. */
export async function writeRecord(
  store: ConditionalStore,
  key: string,
  { versions, revision }: RecordedVersions,
): Promise<RecordWrite> {
  const put = { kind: 'put' as const, key, value: encodeVersions(versions) };
  const written = await store.write([{ key, revision }], [put])();
  if (E.isLeft(written)) {
    return { outcome: 'failed', reason: written.left.message };
  }
  switch (written.right.kind) {
    case 'written':
      return { outcome: 'written', revision: written.right.revision };
    case 'mismatch':
      return { outcome: 'mismatch' };
    case 'lease-gone':
      return { outcome: 'failed', reason: written.right.kind };
  }
}
