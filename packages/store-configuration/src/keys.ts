/** Keys in the platform's key-value service. */
import type { Revision } from '@limelead/types';

/** Key of the head; a compare-and-swap of its value accepts a change. */
export const HEAD_KEY = 'limelead/configuration/head';

/** Key of a part of a snapshot. */
export function snapshotKey(revision: Revision, part: number): string {
  return `limelead/configuration/snapshot/${revision}/${part}`;
}

/** Key of the archived segment whose newest change has that revision. */
export function segmentKey(lastRevision: Revision): string {
  return `limelead/configuration/history/${lastRevision}`;
}
