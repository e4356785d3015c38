/** Decides which window to report next and which to skip; free of side effects. */
import type { Millis } from '@limelead/types';
import { RETAINED_WINDOWS } from './retained-windows.js';

/** Status at one moment. */
export interface WindowStatus {
  /** True time in milliseconds since 1970. */
  nowMs: Millis;
  windowMs: Millis;
  /** Time from the end of a window until its counts are settled. */
  settleAfterMs: Millis;
  /** Last window reported or skipped; undefined if there was none. */
  doneUpTo: number | undefined;
  /** First window that was counted from its start. */
  countedFrom: number;
}

/** Windows that are skipped, both ends included. */
export interface SkippedWindows {
  from: number;
  to: number;
  /** No VM that counted them remains, or they are older than the retained windows. */
  reason: 'not-counted' | 'too-old';
}

/** Windows to skip, or the next window to report. */
export interface WindowPlan {
  skip?: SkippedWindows;
  /** Window to settle and report; undefined if none is due. */
  next?: number;
}

/** Returns the last window that ended long enough ago to be settled. */
export function findLastDueWindow({
  nowMs,
  windowMs,
  settleAfterMs,
}: Pick<WindowStatus, 'nowMs' | 'windowMs' | 'settleAfterMs'>): number {
  return Math.floor((nowMs - settleAfterMs) / windowMs) - 1;
}

/** Returns the next window, or the windows to skip. */
export default function planWindows(status: WindowStatus): WindowPlan {
  const { nowMs, windowMs, doneUpTo, countedFrom } = status;
  const lastDue = findLastDueWindow(status);
  const first = doneUpTo === undefined ? countedFrom : doneUpTo + 1;
  const firstRetained = Math.floor(nowMs / windowMs) - RETAINED_WINDOWS + 1;
  if (first > lastDue) {
    return {};
  }
  const from = Math.max(first, countedFrom, firstRetained);
  if (from === first) {
    return { next: first };
  }
  const reason = countedFrom >= firstRetained ? 'not-counted' : 'too-old';
  return { skip: { from: first, to: Math.min(from - 1, lastDue), reason } };
}
