/** What VMs tell each other of requests that may end targets. Times are the receiver's steady time. */
import type { Millis } from '@limelead/types';
import type { Strike } from './case-book.js';
import type { RequestIdentity } from './identify-request.js';

/** A target that a strike told of is still there. */
export interface Withdrawal {
  request: RequestIdentity;
  target: string;
}

/** A target ran the request, and is there still. */
export interface Absolution {
  request: RequestIdentity;
  atMs: Millis;
}

/** A suspect is tried by the VM that tells this, or is not any more. */
export interface TrialNotice {
  request: RequestIdentity;
  /** Names the trial; told again by another way, it is no news. */
  trial: string;
  isOver: boolean;
}

/** Some of it. */
export interface GuardNews {
  strikes: Strike[];
  withdrawn: Withdrawal[];
  absolved: Absolution[];
  trials: TrialNotice[];
}

/** Completes news. */
export function composeNews(news: Partial<GuardNews>): GuardNews {
  return { strikes: [], withdrawn: [], absolved: [], trials: [], ...news };
}

/** Whether there is nothing in it. */
export function isEmptyNews({ strikes, withdrawn, absolved, trials }: GuardNews): boolean {
  return strikes.length + withdrawn.length + absolved.length + trials.length === 0;
}
