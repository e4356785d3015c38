/**
 * Order of the calls that wait for a service with few slots. In order of due time alone, each call
 * is served at the moment when it just misses its objective; calls that can still meet theirs come
 * first here.
 */
import type { Millis, RequestMark } from '@limelead/types';
import { compareShareRanks } from './share-order.js';

/** A waiting call of any VM. */
export interface QueuedCall {
  vm: string;
  /** Identifies the call at its VM. */
  id: number;
  /** 0 is the most urgent. */
  rank: number;
  organisation?: string;
  isRepeat: boolean;
  /** Undefined if the asking VM sends none. */
  mark?: RequestMark;
  objectiveAtMs: Millis;
  /** Deadline. */
  untilMs: Millis;
  /** Targets that failed the call. */
  avoid: readonly string[];
}

/** State by which calls are compared. */
export interface OrderContext {
  now: Millis;
  /** Expected time of an answer at the target that the first call would get. */
  expectedMs: Millis;
  excessOf(organisation: string | undefined): number;
}

/** Negative if the first call is served before the second. */
export type CompareCalls = (a: QueuedCall, b: QueuedCall, context: OrderContext) => number;

/** Whether a call that starts now is expected to meet its objective. */
export function canBeInTime(
  { objectiveAtMs }: QueuedCall,
  { now, expectedMs }: Pick<OrderContext, 'now' | 'expectedMs'>,
): boolean {
  return objectiveAtMs - now >= expectedMs;
}

/**
 * Calls that can be in time by rank, fair share (see `compareShareRanks`) and objective; then the
 * late ones, of organisations within their shares first, by deadline. The last ones are refused
 * first where calls have to be refused.
 */
export const compareInTimeFirst: CompareCalls = (a, b, context) => {
  const isAInTime = canBeInTime(a, context);
  if (isAInTime !== canBeInTime(b, context)) {
    return isAInTime ? -1 : 1;
  }
  if (!isAInTime) {
    return compareShareClasses(a, b, context) || a.untilMs - b.untilMs;
  }
  return (
    a.rank - b.rank ||
    compareShareRanks(toShareRank(a, context), toShareRank(b, context)) ||
    a.objectiveAtMs - b.objectiveAtMs
  );
};

function compareShareClasses(a: QueuedCall, b: QueuedCall, { excessOf }: OrderContext): number {
  return Number(excessOf(a.organisation) > 0) - Number(excessOf(b.organisation) > 0);
}

function toShareRank({ organisation, isRepeat }: QueuedCall, { excessOf }: OrderContext) {
  return { excess: excessOf(organisation), isRepeat };
}
