/** Pure decision: which window is reported next, and which can't be reported any more. */
import type { Millis } from '@limelead/types';
import { RETAINED_WINDOWS } from './retained-windows.js';

/** What is known at one moment. */
export interface WindowStatus {
  /** True time, in milliseconds since 1970. */
  nowMs: Millis;
  windowMs: Millis;
  /** Time from the end of a window until its counts are settled. */
  settleAfterMs: Millis;
  /** The last window that was reported or skipped; undefined where nobody ever did. */
  doneUpTo: number | undefined;
  /** The first window that was counted from its beginning. */
  countedFrom: number;
}

/** Windows that are left out, both ends included. */
export interface SkippedWindows {
  from: number;
  to: number;
  /** Nobody who counted them is left, or they are older than what is kept. */
  reason: 'not-counted' | 'too-old';
}

/** What to do. */
export interface WindowPlan {
  skip?: SkippedWindows;
  /** The window to settle and report; undefined where none is ripe. */
  next?: number;
}

/** The last window that ended long enough ago. */
export function findLastDueWindow({
  nowMs,
  windowMs,
  settleAfterMs,
}: Pick<WindowStatus, 'nowMs' | 'windowMs' | 'settleAfterMs'>): number {
  return Math.floor((nowMs - settleAfterMs) / windowMs) - 1;
}

/** Plans. */
export default function planWindows(situation: WindowStatus): WindowPlan {
  const { nowMs, windowMs, doneUpTo, countedFrom } = situation;
  const lastRipe = findLastDueWindow(situation);
  const first = doneUpTo === undefined ? countedFrom : doneUpTo + 1;
  const firstKept = Math.floor(nowMs / windowMs) - RETAINED_WINDOWS + 1;
  if (first > lastRipe) {
    return {};
  }
  const from = Math.max(first, countedFrom, firstKept);
  if (from === first) {
    return { next: first };
  }
  const reason = countedFrom >= firstKept ? 'not-counted' : 'too-old';
  return { skip: { from: first, to: Math.min(from - 1, lastRipe), reason } };
}
