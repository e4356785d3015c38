/**
 * Pure plan of the calls to the store. A call that was lost shows only when its wait and
 * the time for its answer are over; until then this VM hears of no change. So both
 * the waits and the pauses follow from the time within which a change has to be known.
 */
import type { Millis } from '@limelead/types';
import { STORE_ANSWER_MS } from './store-port.js';

/** Longest wait of one watch, where the promise would allow more: beyond it few calls are saved. */
const LONGEST_WATCH_WAIT_MS: Millis = 3_000;
/** Shortest wait of one watch, so that a short promise does not become a stream of calls. */
const LEAST_WATCH_WAIT_MS: Millis = 200;
/** Longest wait of a watch by a VM that tells others how old its knowledge is, each second. */
const SHORT_WATCH_WAIT_MS: Millis = 800;
/** Wait of a watch that asks whether the store is back: it is answered at once or it is lost. */
const PROBE_WAIT_MS: Millis = 1;
/** Time to connect anew and to be answered, on a VM that is busy. */
const RECONNECT_MS: Millis = 100;
/** Pause behind the first failure, which may be the connection's alone. */
const FIRST_PAUSE_MS: Millis = 100;
/** Longest pause between two tries, where the promise would allow more. */
const LONGEST_PAUSE_MS: Millis = 1_000;

/** What the wait of a watch depends on. */
export interface WatchSituation {
  /** Time within which a change has to be known. */
  noticeWithinMs: Millis;
  /** Time since the last call in which nothing was asked. */
  pausedMs: Millis;
  /** Whether the last call failed. */
  isAway: boolean;
  /** Whether others rely on this VM's answers, or may do so as far as it knows. */
  mayServeOthers: boolean;
}

/** The longest wait that leaves time to miss the answer, pause, and ask once more. */
export function planWatchWait(situation: WatchSituation): Millis {
  const { noticeWithinMs, pausedMs, isAway, mayServeOthers } = situation;
  if (isAway) {
    return PROBE_WAIT_MS;
  }
  const spentMs = pausedMs + STORE_ANSWER_MS + FIRST_PAUSE_MS + RECONNECT_MS;
  const longestMs = mayServeOthers ? SHORT_WATCH_WAIT_MS : LONGEST_WATCH_WAIT_MS;
  return Math.min(Math.max(noticeWithinMs - spentMs, LEAST_WATCH_WAIT_MS), longestMs);
}

/**
 * The pause behind so many failures in a row. It grows, since refused calls are paid for
 * like others; a try that was lost right before the store's return leaves time for the next.
 */
export function planRetryPause(noticeWithinMs: Millis, failures: number): Millis {
  const longestMs = Math.min(noticeWithinMs - STORE_ANSWER_MS - RECONNECT_MS, LONGEST_PAUSE_MS);
  return Math.min(FIRST_PAUSE_MS * 2 ** (failures - 1), Math.max(longestMs, FIRST_PAUSE_MS));
}
