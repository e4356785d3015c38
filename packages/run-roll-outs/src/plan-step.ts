/** Pure decision: the next step of a roll-out. */
import type { Millis } from '@limelead/types';
import type { OrderFault } from './validate-order.js';
import type { RollOutStep } from './types.js';

/** Part of an order's time that is kept for moving the traffic and ending what is under way. */
const MOVE_SHARE = 0.35;
/** Longest time kept for it: the users' longest streams and calls end within it. */
const MAX_MOVE_MS = 30_000;
/** Part of an order's time that is kept for writing the state, and the most of it. */
const RESERVE_SHARE = 0.1;
const MAX_RESERVE_MS = 3_000;
/**
 * Time in which the traffic goes over, from the trial's share to all of it: a version
 * that fails under load shows it before it has everything.
 */
const MAX_RAMP_MS = 4_000;
/** Parts of a short order's time that ramp and watch take instead. */
const RAMP_SHARE = 0.1;
const OBSERVATION_SHARE = 0.05;
/** Time at full traffic before a move may be completed: two exchanges of evidence and a look. */
const MAX_OBSERVATION_MS = 3_000;
/** Answers of the version under trial without which it is not moved to. */
const MIN_ANSWERS = 30;

/** What is known of a roll-out. */
export interface StepInputs {
  /** The step that stands; undefined before the first. */
  step?: RollOutStep;
  fault?: OrderFault;
  durationMs: Millis;
  /** Time since the order was seen. */
  ageMs: Millis;
  /** Time since the move was agreed; 0 before. */
  movingForMs: Millis;
  isOrdered: boolean;
  isBad: boolean;
  /** Whether every target of the service already has the version. */
  isAlreadyActive: boolean;
  /** Targets of the version that take work. */
  targetCount: number;
  /** Answers of the version so far. */
  answers: number;
  /** Whether no VM has anything under way at replaced targets, nor sends there. */
  isDrained: boolean;
}

/** A step to take, and why. */
export interface NextStep {
  step: RollOutStep;
  reason: string;
}

/** When the traffic begins to move, as time since the order. */
export function moveStartMs(durationMs: Millis): Millis {
  return durationMs - Math.min(MAX_MOVE_MS, durationMs * MOVE_SHARE);
}

/**
 * The part of the requests that goes to the version while traffic moves.
 * @param from the part at the move's begin
 */
export function trafficShare(movedForMs: Millis, durationMs: Millis, from: number): number {
  return Math.min(1, from + (1 - from) * (movedForMs / rampMs(durationMs)));
}

function rampMs(durationMs: Millis): Millis {
  return Math.min(MAX_RAMP_MS, durationMs * RAMP_SHARE);
}

/** Least time from the agreed move to its completion. */
function minMoveMs(durationMs: Millis): Millis {
  return rampMs(durationMs) + Math.min(MAX_OBSERVATION_MS, durationMs * OBSERVATION_SHARE);
}

/** Gives the next step; undefined where the present one stays. */
export default function planStep(facts: StepInputs): NextStep | undefined {
  switch (facts.step) {
    case undefined:
      return planFirst(facts);
    case 'trial':
      return planRollBack(facts) ?? planMove(facts);
    case 'move':
      return planRollBack(facts) ?? planCompletion(facts);
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

function planRollBack({ isOrdered, isBad, step, ...facts }: StepInputs): NextStep | undefined {
  if (!isOrdered) {
    return { step: 'rolled_back', reason: 'order-deleted' };
  }
  if (isBad) {
    return { step: 'rolled_back', reason: 'bad-version' };
  }
  const isLate = facts.ageMs >= decisionDeadlineMs(facts.durationMs);
  return isLate && step === 'trial'
    ? { step: 'rolled_back', reason: facts.targetCount === 0 ? 'no-target' : 'too-few-answers' }
    : undefined;
}

function planMove({ ageMs, durationMs, answers, targetCount }: StepInputs): NextStep | undefined {
  const isTime =
    ageMs >= moveStartMs(durationMs) &&
    ageMs + minMoveMs(durationMs) <= decisionDeadlineMs(durationMs);
  const mayMove = isTime && answers >= MIN_ANSWERS && targetCount > 0;
  return mayMove ? { step: 'move', reason: 'as-good-as-in-force' } : undefined;
}

function planCompletion(facts: StepInputs): NextStep | undefined {
  if (facts.targetCount === 0) {
    return { step: 'rolled_back', reason: 'no-target' };
  }
  const isWatched = facts.movingForMs >= minMoveMs(facts.durationMs);
  if (facts.isDrained && isWatched) {
    return { step: 'completed', reason: 'moved' };
  }
  // What is still under way at replaced targets goes on elsewhere, as after any loss.
  return facts.ageMs >= decisionDeadlineMs(facts.durationMs) && isWatched
    ? { step: 'completed', reason: 'time-is-over' }
    : undefined;
}

function decisionDeadlineMs(durationMs: Millis): Millis {
  return durationMs - Math.min(MAX_RESERVE_MS, durationMs * RESERVE_SHARE);
}
