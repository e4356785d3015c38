/**
 * A circuit breaker as plain data. It opens after consecutive failures, lets one probe through
 * after a pause, and closes on success. The pause doubles while the probes fail.
 */
import type { Millis } from '@limelead/types';

const FAILURES_TO_OPEN = 3;
const FIRST_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 30_000;

export type BreakerState = 'closed' | 'open' | 'half-open';

/** The breaker of one target. */
export interface Breaker {
  failureCount: number;
  /** Number of times it opened since it was last closed. */
  openCount: number;
  /** End of the pause; 0 while it is closed. */
  openUntilMs: Millis;
  /** Whether the probe of the half-open state is in flight. */
  isProbing: boolean;
}

/** Breaker without failures. */
export const CLOSED_BREAKER: Breaker = {
  failureCount: 0,
  openCount: 0,
  openUntilMs: 0,
  isProbing: false,
};

/** State of the breaker now; `open` also while a probe is in flight. */
export function getBreakerState(breaker: Breaker, now: Millis): BreakerState {
  if (breaker.openUntilMs === 0) {
    return 'closed';
  }
  return now < breaker.openUntilMs || breaker.isProbing ? 'open' : 'half-open';
}

/** Breaker after a request was sent, which is the probe if the breaker was half-open. */
export function breakerAfterSend(breaker: Breaker, now: Millis): Breaker {
  return getBreakerState(breaker, now) === 'half-open' ? { ...breaker, isProbing: true } : breaker;
}

/** Breaker after an answer of the target. */
export function breakerAfterSuccess(): Breaker {
  return CLOSED_BREAKER;
}

/** Breaker after the target did not answer or broke off. */
export function breakerAfterFailure(breaker: Breaker, now: Millis): Breaker {
  const failures = breaker.failureCount + 1;
  const mustOpen = breaker.isProbing || failures >= FAILURES_TO_OPEN;
  if (!mustOpen || (getBreakerState(breaker, now) === 'open' && !breaker.isProbing)) {
    return { ...breaker, failureCount: failures };
  }
  const pause = Math.min(FIRST_PAUSE_MS * 2 ** breaker.openCount, MAX_PAUSE_MS);
  return {
    failureCount: failures,
    openCount: breaker.openCount + 1,
    openUntilMs: now + pause,
    isProbing: false,
  };
}

/**
 * Breaker after a peer reported its own as open until that time, unless this one is open for
 * longer.
 */
export function breakerAfterPeerOpen(breaker: Breaker, openUntilMs: Millis): Breaker {
  if (openUntilMs <= breaker.openUntilMs) {
    return breaker;
  }
  return { ...breaker, openCount: Math.max(1, breaker.openCount), openUntilMs };
}
