/** What this VM has seen of one target, as plain data, and how each observation changes it. */
import type { Millis } from '@limelead/types';

const FAILURE_GAIN = 0.2;
/** Time in which the weight of past failures halves while nothing is observed. */
const FAILURE_HALF_LIFE_MS = 4_000;
const FIRST_SUSPICION_MS = 400;
const LONGEST_SUSPICION_MS = 3_000;
/** Time in which what is believed of a slow target halves while no run there tells, in milliseconds. */
const SLOWNESS_HALF_LIFE_MS = 3_000;
/**
 * Time for which an incarnation is left alone whose address another one holds, in
 * milliseconds. It never comes back; its entry goes with three missed heartbeats, or
 * stays while the store is away. Tried again after 0.4 s, the engines of one domain
 * that restarted cost 150 repeats in an outage of the store of 8 s.
 */
const REPLACED_MS = 10_000;

/** Evidence about one incarnation of a target. */
export interface TargetEvidence {
  /** Last time that any byte of an answer came from it; 0 before the first. */
  heardAtMs: Millis;
  /** Until when it is taken to be down. */
  suspectedUntilMs: Millis;
  /** When it was last found to be down; 0 for never. */
  lostAtMs: Millis;
  /** Suspicions since it last answered. */
  suspicions: number;
  /** Moving share of failed answers, 0 to 1, as of `failureRateAtMs`. */
  failureRate: number;
  failureRateAtMs: Millis;
  /** Times the usual time that its pieces took, 1 or more, as of `slownessAtMs`. */
  slowness: number;
  slownessAtMs: Millis;
  /** Until when it is left alone because it said that it is full. */
  fullUntilMs: Millis;
}

/** Evidence before anything was seen. */
export const NO_EVIDENCE: TargetEvidence = {
  heardAtMs: 0,
  suspectedUntilMs: 0,
  lostAtMs: 0,
  suspicions: 0,
  failureRate: 0,
  failureRateAtMs: 0,
  slowness: 1,
  slownessAtMs: 0,
  fullUntilMs: 0,
};

/** Something seen of a target. */
export type TargetObservation =
  /** It answered well. */
  | { kind: 'answered' }
  /** It answered with an error or broke an answer off, but it is there. */
  | { kind: 'failed' }
  /** It takes no connection, or all that runs on it broke or fell silent. */
  | { kind: 'lost' }
  /** Another incarnation answers at its address. */
  | { kind: 'replaced' }
  /** Its pieces took so many times the usual time. */
  | { kind: 'paced'; slowness: number }
  /** It said that it has no place. */
  | { kind: 'full'; pauseMs: number };

/** Takes one observation into the evidence. */
export function observeTarget(
  evidence: TargetEvidence,
  observation: TargetObservation,
  now: Millis,
): TargetEvidence {
  switch (observation.kind) {
    case 'answered':
      return {
        ...withFailure(evidence, 0, now),
        heardAtMs: now,
        suspectedUntilMs: 0,
        suspicions: 0,
      };
    case 'failed':
      return { ...withFailure(evidence, 1, now), heardAtMs: now };
    case 'lost':
      return suspect(withFailure(evidence, 1, now), now);
    case 'replaced':
      return { ...evidence, suspectedUntilMs: now + REPLACED_MS };
    case 'paced':
      return { ...evidence, slowness: observation.slowness, slownessAtMs: now };
    case 'full':
      return {
        ...evidence,
        heardAtMs: now,
        fullUntilMs: Math.max(evidence.fullUntilMs, now + observation.pauseMs),
      };
  }
}

/** The moving share of failed answers as of now. */
export function readFailureRate(evidence: TargetEvidence, now: Millis): number {
  const ageMs = Math.max(0, now - evidence.failureRateAtMs);
  return evidence.failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
}

/** Times the usual time that a run takes there, 1 or more, as far as it is believed now. */
export function readSlowness(evidence: TargetEvidence, now: Millis): number {
  const ageMs = Math.max(0, now - evidence.slownessAtMs);
  return 1 + (evidence.slowness - 1) * 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS);
}

/** Whether the target is taken to be down now. */
export function isSuspected(evidence: TargetEvidence, now: Millis): boolean {
  return evidence.suspectedUntilMs > now;
}

function withFailure(evidence: TargetEvidence, outcome: 0 | 1, now: Millis): TargetEvidence {
  const present = readFailureRate(evidence, now);
  const failureRate = present + FAILURE_GAIN * (outcome - present);
  return { ...evidence, failureRate, failureRateAtMs: now };
}

function suspect(evidence: TargetEvidence, now: Millis): TargetEvidence {
  const alreadySuspected = isSuspected(evidence, now);
  const suspicions = alreadySuspected ? evidence.suspicions : evidence.suspicions + 1;
  const pauseMs = Math.min(FIRST_SUSPICION_MS * 2 ** (suspicions - 1), LONGEST_SUSPICION_MS);
  const suspectedUntilMs = Math.max(evidence.suspectedUntilMs, now + pauseMs);
  return { ...evidence, suspicions, suspectedUntilMs, lostAtMs: now };
}
