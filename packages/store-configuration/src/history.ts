/**
 * Archived history segments: a list linked from the newest to the oldest, which starts at the
 * head. VMs that archive the same head write identical segments.
 */
import { changeCodec } from '@limelead/configuration-state';
import { PortFault } from '@limelead/errors';
import type { KeyValueStore, PortCall } from '@limelead/ports';
import type { Change, Revision } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { parseJson, type Head } from './head.js';
import { segmentKey } from './keys.js';

/** Changes that stay in the head, so that VMs that lack only these need no other read. */
const RETAINED_HEAD_CHANGES = 32;
const MAX_RETAINED_CHARACTERS = 100_000;
const MAX_SEGMENT_CHARACTERS = 400_000;

/** Consecutive changes. */
export interface Segment {
  /** Last revision of the previous segment; 0 for none. */
  previous: Revision;
  changes: Change[];
}

const segmentCodec = t.type({
  previous: t.number,
  changes: t.array(changeCodec),
}) as unknown as t.Type<Segment, unknown>;

/** Writes older changes of a head to segments; returns the shortened head. */
export function archiveChanges(store: KeyValueStore, head: Head): PortCall<Head> {
  return async () => {
    const keptFrom = findFirstRetained(head.changes);
    const segments = cutSegments(head.archived, head.changes.slice(0, keptFrom));
    for (const segment of segments) {
      const key = segmentKey(lastRevisionOf(segment));
      const written = await store.compareAndSwap(key, 0, JSON.stringify(segment))();
      if (E.isLeft(written)) {
        return written;
      }
    }
    const newest = segments.at(-1);
    return E.right({
      ...head,
      archived: newest === undefined ? head.archived : lastRevisionOf(newest),
      changes: head.changes.slice(keptFrom),
    });
  };
}

/** Lists changes below a revision, newest first, from the head and then from segments. */
export function listChanges(
  store: KeyValueStore,
  head: Head,
  before: Revision,
  limit: number,
): PortCall<Change[]> {
  return async () => {
    const isListed = (change: Change): boolean => change.revision < before;
    const listed = head.changes.filter(isListed).reverse();
    let next = head.archived;
    while (listed.length < limit && next > 0) {
      const segment = await readSegment(store, next)();
      if (E.isLeft(segment)) {
        return segment;
      }
      listed.push(...segment.right.changes.filter(isListed).reverse());
      next = segment.right.previous;
    }
    return E.right(listed.slice(0, limit));
  };
}

function readSegment(store: KeyValueStore, lastRevision: Revision): PortCall<Segment> {
  return async () => {
    const stored = await store.get(segmentKey(lastRevision))();
    if (E.isLeft(stored)) {
      return stored;
    }
    const decoded = segmentCodec.decode(parseJson(stored.right.value));
    return E.isRight(decoded)
      ? E.right(decoded.right)
      : E.left(new PortFault('invalid', 'no', `history segment ${lastRevision} is invalid`));
  };
}

/** Index of the oldest change that stays in the head. */
function findFirstRetained(changes: Change[]): number {
  let characters = 0;
  let index = changes.length;
  while (index > 0 && changes.length - index < RETAINED_HEAD_CHANGES) {
    characters += JSON.stringify(changes[index - 1]).length;
    if (characters > MAX_RETAINED_CHARACTERS) {
      break;
    }
    index -= 1;
  }
  return index;
}

function cutSegments(archived: Revision, changes: Change[]): Segment[] {
  const segments: Segment[] = [];
  let characters = 0;
  for (const change of changes) {
    const size = JSON.stringify(change).length;
    const open = segments.at(-1);
    if (open === undefined || characters + size > MAX_SEGMENT_CHARACTERS) {
      const previous = open === undefined ? archived : lastRevisionOf(open);
      segments.push({ previous, changes: [change] });
      characters = size;
    } else {
      open.changes.push(change);
      characters += size;
    }
  }
  return segments;
}

function lastRevisionOf(segment: Segment): Revision {
  return segment.changes.at(-1)?.revision ?? segment.previous;
}
