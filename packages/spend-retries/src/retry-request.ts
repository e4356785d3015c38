/** Requests for retries: their classes, their order and the decisions about them. */
import type { Millis } from '@limelead/types';
import type { HeldRetry } from './retry-budget-tracker.js';

/** Classes of retries, the most valuable first. The names are used in messages, logs and metrics. */
export const RETRY_CLASSES = [
  'stream-with-replica',
  'stream-written',
  'stream-unwritten',
  'call-repeat',
  'hedge',
] as const;

/** What a retry is for. A stream has "written" once its caller received a piece. */
export type RetryClass = (typeof RETRY_CLASSES)[number];

/** A request for one retry. Times are steady times of the VM. */
export interface RetryRequest {
  class: RetryClass;
  /** Rank of the request; 0 is the most urgent. */
  rank: number;
  /** Time at which the pause or the answer becomes late for the caller. */
  lateAtMs: Millis;
  /** Time after which the retry is of no use. */
  untilMs: Millis;
  /**
   * True if the request is refused as soon as no retry is expected before `untilMs`; otherwise it
   * waits until then. Streams that may have run wait, since nobody else can resume them.
   */
  refusesEarly?: boolean;
  /** For log lines only. */
  requestId?: string;
}

/** Decision about a request for a retry. */
export type RetryDecision =
  | { outcome: 'granted'; retry: HeldRetry }
  /** `retryAfterMs` is the time until budget is expected, including jitter. */
  | { outcome: 'refused'; retryAfterMs: Millis };

/** The end of a request for a retry, for log lines and metrics. */
export interface RetryRequestEnd {
  request: RetryRequest;
  /** `withdrawn` if the request was cancelled, for example because its caller left. */
  outcome: RetryDecision['outcome'] | 'withdrawn';
  waitedMs: Millis;
  /** False if the decision was made at once. */
  hasWaited: boolean;
}

/** Position of a class in the order of classes; unknown classes of later releases are last. */
export function orderOfClass(retryClass: string): number {
  const index = (RETRY_CLASSES as readonly string[]).indexOf(retryClass);
  return index === -1 ? RETRY_CLASSES.length : index;
}

/** Whether the class consists of streams. */
export function isStreamClass(retryClass: RetryClass): boolean {
  return orderOfClass(retryClass) < orderOfClass('call-repeat');
}
