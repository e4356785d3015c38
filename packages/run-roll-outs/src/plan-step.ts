/** Decides the next step of a roll-out; free of side effects. */
import type { Millis } from '@limelead/types';
import type { OrderFault } from './validate-order.js';
import type { RollOutStep } from './types.js';

/** Share of an order's duration reserved for moving traffic and completing requests in flight. */
const MOVE_SHARE = 0.35;
/** Upper limit of that time; long enough for long streams and calls to finish. */
const MAX_MOVE_MS = 30_000;
/** Share of an order's duration reserved for writing the state, and its upper limit. */
const RESERVE_SHARE = 0.1;
const MAX_RESERVE_MS = 3_000;
/**
 * Maximum time for ramping traffic from the trial's share to all of it, so that a version that
 * fails under load shows it early.
 */
const MAX_RAMP_MS = 4_000;
/** Shares of the duration used for ramp and observation in short orders. */
const RAMP_SHARE = 0.1;
const OBSERVATION_SHARE = 0.05;
/**
 * Maximum observation time at full traffic before completion; covers two exchanges of evidence and
 * an evaluation.
 */
const MAX_OBSERVATION_MS = 3_000;
/** Number of answers required before traffic moves to the version under trial. */
const MIN_ANSWERS = 30;

/** Inputs of the decision. */
export interface StepInputs {
  /** The current step; undefined before the first. */
  step?: RollOutStep;
  fault?: OrderFault;
  durationMs: Millis;
  /** Time since the order was first seen. */
  ageMs: Millis;
  /** Time since the move was agreed; 0 before that. */
  movingForMs: Millis;
  isOrdered: boolean;
  isBad: boolean;
  /** Whether every target of the service already runs the version. */
  isAlreadyActive: boolean;
  /** Targets of the version that accept requests. */
  targetCount: number;
  /** Answers of the version so far. */
  answers: number;
  /** Whether no VM has requests in flight at replaced targets or sends new ones there. */
  isDrained: boolean;
}

/** A step to take and its reason. */
export interface NextStep {
  step: RollOutStep;
  reason: string;
}

/** Returns when traffic starts to move, as time since the order. */
export function moveStartMs(durationMs: Millis): Millis {
  return durationMs - Math.min(MAX_MOVE_MS, durationMs * MOVE_SHARE);
}

/**
 * Returns the share of requests that go to the new version while traffic moves.
 * @param initialShare share at the start of the move
 */
export function trafficShare(
  movingForMs: Millis,
  durationMs: Millis,
  initialShare: number,
): number {
  return Math.min(1, initialShare + (1 - initialShare) * (movingForMs / rampMs(durationMs)));
}

function rampMs(durationMs: Millis): Millis {
  return Math.min(MAX_RAMP_MS, durationMs * RAMP_SHARE);
}

/** Minimum time from the agreed move to its completion. */
function minMoveMs(durationMs: Millis): Millis {
  return rampMs(durationMs) + Math.min(MAX_OBSERVATION_MS, durationMs * OBSERVATION_SHARE);
}

/** Returns the next step; undefined to keep the current one. */
export default function planStep(inputs: StepInputs): NextStep | undefined {
  switch (inputs.step) {
    case undefined:
      return planFirst(inputs);
    case 'trial':
      return planRollBack(inputs) ?? planMove(inputs);
    case 'move':
      return planRollBack(inputs) ?? planCompletion(inputs);
    default:
      return undefined;
  }
}

function planFirst({ fault, isAlreadyActive }: StepInputs): NextStep {
  if (fault !== undefined) {
    return { step: 'rolled_back', reason: fault };
  }
  return isAlreadyActive
    ? { step: 'completed', reason: 'already-in-force' }
    : { step: 'trial', reason: 'ordered' };
}

function planRollBack({ isOrdered, isBad, step, ...inputs }: StepInputs): NextStep | undefined {
  if (!isOrdered) {
    return { step: 'rolled_back', reason: 'order-deleted' };
  }
  if (isBad) {
    return { step: 'rolled_back', reason: 'bad-version' };
  }
  const isLate = inputs.ageMs >= decisionDeadlineMs(inputs.durationMs);
  return isLate && step === 'trial'
    ? { step: 'rolled_back', reason: inputs.targetCount === 0 ? 'no-target' : 'too-few-answers' }
    : undefined;
}

function planMove({ ageMs, durationMs, answers, targetCount }: StepInputs): NextStep | undefined {
  const isInWindow =
    ageMs >= moveStartMs(durationMs) &&
    ageMs + minMoveMs(durationMs) <= decisionDeadlineMs(durationMs);
  const canMove = isInWindow && answers >= MIN_ANSWERS && targetCount > 0;
  return canMove ? { step: 'move', reason: 'as-good-as-in-force' } : undefined;
}

function planCompletion(inputs: StepInputs): NextStep | undefined {
  if (inputs.targetCount === 0) {
    return { step: 'rolled_back', reason: 'no-target' };
  }
  const isObserved = inputs.movingForMs >= minMoveMs(inputs.durationMs);
  if (inputs.isDrained && isObserved) {
    return { step: 'completed', reason: 'moved' };
  }
  // Requests still in flight at replaced targets continue elsewhere, as after any target loss.
  return inputs.ageMs >= decisionDeadlineMs(inputs.durationMs) && isObserved
    ? { step: 'completed', reason: 'time-is-over' }
    : undefined;
}

function decisionDeadlineMs(durationMs: Millis): Millis {
  return durationMs - Math.min(MAX_RESERVE_MS, durationMs * RESERVE_SHARE);
}
