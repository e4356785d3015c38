/** Health of one target as observed by this VM, as plain data, and how observations change it. */
import type { Millis } from '@limelead/types';

const FAILURE_WEIGHT = 0.2;
/** Half-life of the failure rate while nothing is observed, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4_000;
const FIRST_SUSPICION_MS = 400;
const MAX_SUSPICION_MS = 3_000;
/** Half-life of the excess slowness while no run is measured, in milliseconds. */
const SLOWNESS_HALF_LIFE_MS = 3_000;
/**
 * How long an incarnation is suspected after another one answered at its address, in milliseconds.
 * It never returns, but its registry entry remains until its heartbeats are missed, or longer while
 * the store is unavailable. Tried again after 0.4 s, restarted engines of one failure domain caused
 * 150 retries in an outage of the store of 8 s.
 */
const REPLACED_SUSPICION_MS = 10_000;

/** Health of one incarnation of a target. */
export interface TargetHealth {
  /** Last time that any byte of a response arrived; 0 before the first. */
  lastResponseAtMs: Millis;
  /** End of the time for which the target is considered down. */
  suspectedUntilMs: Millis;
  /** When the target was last found lost; 0 for never. */
  lostAtMs: Millis;
  /** Number of suspicions since the last successful response. */
  suspicionCount: number;
  /** Moving share of failed responses, 0 to 1, as of `failureRateAtMs`. */
  failureRate: number;
  failureRateAtMs: Millis;
  /**
   * Duration of its pieces as a multiple of the usual duration, at least 1, as of `slownessAtMs`.
   */
  slowness: number;
  slownessAtMs: Millis;
  /** End of the time for which it gets no requests because it reported that it is full. */
  fullUntilMs: Millis;
}

/** Health before any observation. */
export const INITIAL_HEALTH: TargetHealth = {
  lastResponseAtMs: 0,
  suspectedUntilMs: 0,
  lostAtMs: 0,
  suspicionCount: 0,
  failureRate: 0,
  failureRateAtMs: 0,
  slowness: 1,
  slownessAtMs: 0,
  fullUntilMs: 0,
};

/** An observation of a target by this VM or a peer. */
export type TargetObservation =
  /** It answered successfully. */
  | { kind: 'answered' }
  /** It answered with an error or broke off an answer, but is running. */
  | { kind: 'failed' }
  /** It accepts no connection, or all its runs broke or fell silent. */
  | { kind: 'lost' }
  /** Another incarnation answers at its address. */
  | { kind: 'replaced' }
  /** Its pieces took that multiple of the usual duration. */
  | { kind: 'paced'; slowness: number }
  /** It reported that it has no free slot. */
  | { kind: 'full'; pauseMs: number };

/** Returns the health after one observation. */
export function applyObservation(
  health: TargetHealth,
  observation: TargetObservation,
  now: Millis,
): TargetHealth {
  switch (observation.kind) {
    case 'answered':
      return {
        ...withFailure(health, 0, now),
        lastResponseAtMs: now,
        suspectedUntilMs: 0,
        suspicionCount: 0,
      };
    case 'failed':
      return { ...withFailure(health, 1, now), lastResponseAtMs: now };
    case 'lost':
      return suspect(withFailure(health, 1, now), now);
    case 'replaced':
      return { ...health, suspectedUntilMs: now + REPLACED_SUSPICION_MS };
    case 'paced':
      return { ...health, slowness: observation.slowness, slownessAtMs: now };
    case 'full':
      return {
        ...health,
        lastResponseAtMs: now,
        fullUntilMs: Math.max(health.fullUntilMs, now + observation.pauseMs),
      };
  }
}

/** Moving share of failed responses as of now. */
export function getFailureRate(health: TargetHealth, now: Millis): number {
  const ageMs = Math.max(0, now - health.failureRateAtMs);
  return health.failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
}

/** Duration of runs as a multiple of the usual duration as of now, at least 1. */
export function getSlowness(health: TargetHealth, now: Millis): number {
  const ageMs = Math.max(0, now - health.slownessAtMs);
  return 1 + (health.slowness - 1) * 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS);
}

/** Whether the target is considered down now. */
export function isSuspected(health: TargetHealth, now: Millis): boolean {
  return health.suspectedUntilMs > now;
}

function withFailure(health: TargetHealth, outcome: 0 | 1, now: Millis): TargetHealth {
  const present = getFailureRate(health, now);
  const failureRate = present + FAILURE_WEIGHT * (outcome - present);
  return { ...health, failureRate, failureRateAtMs: now };
}

function suspect(health: TargetHealth, now: Millis): TargetHealth {
  const alreadySuspected = isSuspected(health, now);
  const suspicions = alreadySuspected ? health.suspicionCount : health.suspicionCount + 1;
  const pauseMs = Math.min(FIRST_SUSPICION_MS * 2 ** (suspicions - 1), MAX_SUSPICION_MS);
  const suspectedUntilMs = Math.max(health.suspectedUntilMs, now + pauseMs);
  return { ...health, suspicionCount: suspicions, suspectedUntilMs, lostAtMs: now };
}
