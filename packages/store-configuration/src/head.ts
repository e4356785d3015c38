/** The head: what is in force, by reference to a snapshot and the newest changes. */
import { changeCodec } from '@limelead/configuration-state';
import type { Change, Revision } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** Where a snapshot is. */
export interface SnapshotReference {
  revision: Revision;
  parts: number;
}

/** The value under the head key. */
export interface Head {
  revision: Revision;
  snapshot: SnapshotReference;
  /** Last revision of the newest archived segment of the history; 0 where there is none. */
  archived: Revision;
  /** The newest changes in order, up to `revision`; they follow on the snapshot or overlap it. */
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

/** Reads a head; an absent key is the empty head, undefined is a value that does not hold. */
export function decodeHead(value: string): Head | undefined {
  if (value === '') {
    return EMPTY_HEAD;
  }
  const decoded = headCodec.decode(parseJson(value));
  return E.isRight(decoded) ? decoded.right : undefined;
}

/** Parses JSON; undefined where it is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
