/**
 * Order of the calls that wait for a service with few slots. In order of due time alone, each call
 * is served at the moment when it just misses its objective; calls that can still meet theirs come
 * first here.
 */
import type { Millis } from '@limelead/types';

/** A waiting call of any VM. */
export interface QueuedCall {
  vm: string;
  /** Identifies the call at its VM. */
  id: number;
  /** 0 is the most urgent. */
  rank: number;
  organisation?: string;
  isRepeat: boolean;
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
 * Calls that can be in time by rank, excess over the fair share, repeats last, and objective; then
 * the late ones by deadline.
 */
export const compareInTimeFirst: CompareCalls = (a, b, context) => {
  const isAInTime = canBeInTime(a, context);
  if (isAInTime !== canBeInTime(b, context)) {
    return isAInTime ? -1 : 1;
  }
  if (!isAInTime) {
    return a.untilMs - b.untilMs;
  }
  return (
    a.rank - b.rank ||
    compareExcess(a, b, context) ||
    Number(a.isRepeat) - Number(b.isRepeat) ||
    a.objectiveAtMs - b.objectiveAtMs
  );
};

function compareExcess(a: QueuedCall, b: QueuedCall, { excessOf }: OrderContext): number {
  return a.organisation === b.organisation
    ? 0
    : excessOf(a.organisation) - excessOf(b.organisation);
}
