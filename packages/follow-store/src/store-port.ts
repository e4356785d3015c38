/** The store as a follower sees it. */
import type { Millis } from '@limelead/types';
import type * as E from 'fp-ts/lib/Either.js';

/**
 * Time for the store's answer, beyond the wait that a call asked for, in milliseconds. It
 * answers within 4, and within 320 when it is as slow as the users have played it. A
 * call that was lost shows only when this time is over.
 */
export const STORE_ANSWER_MS: Millis = 800;

/** One item as it was last written. */
export interface StoreItem {
  key: string;
  value: Buffer;
  /** Store-wide number of the change that wrote it. */
  revision: number;
  /** Store-wide number of the change that created it, where the store tells it. */
  made?: number;
}

/** One change. */
export type StoreChange = { kind: 'put'; item: StoreItem } | { kind: 'gone'; key: string };

/** Why a read failed. */
export type StoreFault =
  /** The store says no, or not now. */
  | 'turned-away'
  /** No connection, or it broke. */
  | 'unreachable'
  /** No answer came in time. */
  | 'silent'
  /** The changes since the asked revision are forgotten. */
  | 'history-gone'
  /** The answer does not hold. */
  | 'invalid';

/** Reads that a follower makes. */
export type StoreCall = 'list' | 'watch';

/** One call that failed. */
export interface StoreCallFailure {
  call: StoreCall;
  fault: StoreFault;
  /** Time for which the store was asked to wait for a change; 0 for a list. */
  waitMs: Millis;
  /** Time from the call to its failure. */
  afterMs: Millis;
  /** Failures since the store's last answer, this one included; 0 where the store did answer. */
  failures: number;
  /** Longest pause until the next call. */
  pauseMs: Millis;
}

/** An outage that is over, as one VM saw it. */
export interface StoreOutage {
  /** Time since the first call that failed was made. */
  awayMs: Millis;
  /** Calls that failed. */
  failures: number;
}

/** A complete list. Pages are no snapshot: changes since `revision` may be in it already. */
export interface StoreList {
  items: StoreItem[];
  /** The store's revision when the first page was read. */
  revision: number;
  /** The same when the last page was read; left out, there is one page. */
  lastRevision?: number;
  /** Rows that could not be read at all. */
  skipped?: number;
}

/** Changes and the revision to go on from. */
export interface StoreChanges {
  changes: StoreChange[];
  revision: number;
  /** Rows that could not be read at all. */
  skipped?: number;
}

/** Reads of the store. */
export interface StorePort {
  list(): Promise<E.Either<StoreFault, StoreList>>;
  /** Answers as soon as there is a change behind `revision`, or with none after the wait. */
  watch(revision: number, waitMs: number): Promise<E.Either<StoreFault, StoreChanges>>;
}
