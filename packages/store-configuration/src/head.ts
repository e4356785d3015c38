/** The head: the configuration in force as a reference to a snapshot and the newest changes. */
import { changeCodec } from '@limelead/configuration-state';
import type { Change, Revision } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** Identifies the parts of a snapshot. */
export interface SnapshotReference {
  revision: Revision;
  parts: number;
}

/** The value of the head key. */
export interface Head {
  revision: Revision;
  snapshot: SnapshotReference;
  /** Last revision of the newest archived history segment; 0 for none. */
  archived: Revision;
  /** The newest changes in order, up to `revision`; they continue or overlap the snapshot. */
  changes: Change[];
}

/** The head before the first change. */
export const EMPTY_HEAD: Head = {
  revision: 0,
  snapshot: { revision: 0, parts: 0 },
  archived: 0,
  changes: [],
};

const headCodec: t.Type<Head, unknown> = t.type({
  revision: t.number,
  snapshot: t.type({ revision: t.number, parts: t.number }),
  archived: t.number,
  changes: t.array(changeCodec),
});

/** Decodes a head. An empty value, which stands for an absent key, gives the empty head; undefined if invalid. */
export function decodeHead(value: string): Head | undefined {
  if (value === '') {
    return EMPTY_HEAD;
  }
  const decoded = headCodec.decode(parseJson(value));
  return E.isRight(decoded) ? decoded.right : undefined;
}

/** Parses JSON; undefined if invalid. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
