/**
 * A circuit breaker, as plain data. It opens after failures in a row, lets one
 * request through after a pause, and closes again on success. The pause doubles
 * while the target goes on failing.
 */
import type { Millis } from '@limelead/types';

const FAILURES_TO_OPEN = 3;
const FIRST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 30_000;

/** Where a breaker stands. */
export type BreakerState = 'closed' | 'open' | 'half-open';

/** The breaker of one target. */
export interface Breaker {
  failures: number;
  /** Times it opened since it was last closed. */
  opened: number;
  /** Until when it is open; 0 while it is closed. */
  openUntilMs: Millis;
  /** True while the one request of the half-open state is under way. */
  trialUnderWay: boolean;
}

/** A breaker that has seen nothing. */
export const CLOSED_BREAKER: Breaker = {
  failures: 0,
  opened: 0,
  openUntilMs: 0,
  trialUnderWay: false,
};

/** Where the breaker stands now. */
export function readBreaker(breaker: Breaker, now: Millis): BreakerState {
  if (breaker.openUntilMs === 0) {
    return 'closed';
  }
  return now < breaker.openUntilMs || breaker.trialUnderWay ? 'open' : 'half-open';
}

/** A request was sent to the target. */
export function noteTrial(breaker: Breaker, now: Millis): Breaker {
  return readBreaker(breaker, now) === 'half-open' ? { ...breaker, trialUnderWay: true } : breaker;
}

/** The target answered. */
export function noteSuccess(): Breaker {
  return CLOSED_BREAKER;
}

/** The target did not answer or broke off. */
export function noteFailure(breaker: Breaker, now: Millis): Breaker {
  const failures = breaker.failures + 1;
  const mustOpen = breaker.trialUnderWay || failures >= FAILURES_TO_OPEN;
  if (!mustOpen || (readBreaker(breaker, now) === 'open' && !breaker.trialUnderWay)) {
    return { ...breaker, failures };
  }
  const pause = Math.min(FIRST_PAUSE_MS * 2 ** breaker.opened, LONGEST_PAUSE_MS);
  return { failures, opened: breaker.opened + 1, openUntilMs: now + pause, trialUnderWay: false };
}

/** A peer says that its breaker is open until then; taken over unless ours is open for longer. */
export function adoptOpen(breaker: Breaker, openUntilMs: Millis): Breaker {
  if (openUntilMs <= breaker.openUntilMs) {
    return breaker;
  }
  return { ...breaker, opened: Math.max(1, breaker.opened), openUntilMs };
}
