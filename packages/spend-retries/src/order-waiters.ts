/**
 * Order in which waiting requests get retries. After the loss of a failure domain of engines, every
 * VM has more broken streams than retries, and a stream that resumes within its allowed pause is
 * worth ten times one that resumes later, or more.
 */
import type { Millis, RetryNeed } from '@limelead/types';
import {
  isStreamClass,
  orderOfClass,
  RETRY_CLASSES,
  type RetryClass,
  type RetryRequest,
} from './retry-request.js';

/** Fields of a waiting request that its position depends on. */
export interface OrderedWaiter {
  /** Increases with each request. */
  id: number;
  request: Pick<RetryRequest, 'class' | 'rank' | 'lateAtMs'>;
}

/** Budget of a VM at one moment, in retries. */
export interface AvailableRetries {
  /** Own and borrowed retries that can be spent. */
  available: number;
  /** Retries that only streams may use; 0 for a service without streams. */
  reserve: number;
}

/**
 * Orders by class, then by rank. Within a rank, requests that can still be in time precede those
 * that are late already, which lose nothing more; among both, the one that is due first is first.
 */
function compareWaiters(a: OrderedWaiter, b: OrderedWaiter, now: Millis): number {
  const isLate = ({ request }: OrderedWaiter): number => (request.lateAtMs <= now ? 1 : 0);
  return (
    orderOfClass(a.request.class) - orderOfClass(b.request.class) ||
    a.request.rank - b.request.rank ||
    isLate(a) - isLate(b) ||
    a.request.lateAtMs - b.request.lateAtMs ||
    a.id - b.id
  );
}

/** Sorts the waiting requests, the one to serve first at the front. */
export function orderWaiters<Waiter extends OrderedWaiter>(
  waiters: readonly Waiter[],
  now: Millis,
): Waiter[] {
  return [...waiters].sort((a, b) => compareWaiters(a, b, now));
}

/** The first of the ordered requests, without sorting; undefined if none waits. */
export function findFirstWaiter<Waiter extends OrderedWaiter>(
  waiters: readonly Waiter[],
  now: Millis,
): Waiter | undefined {
  return waiters.reduce<Waiter | undefined>(
    (first, waiter) =>
      first === undefined || compareWaiters(waiter, first, now) < 0 ? waiter : first,
    undefined,
  );
}

/** Retries that must be available before a request of the class gets one. */
export function countRequired(retryClass: RetryClass, reserve: number): number {
  return 1 + (isStreamClass(retryClass) ? 0 : reserve);
}

/** Retries that the waiting requests of each class lack, the most valuable class first. */
export function listNeeds(
  waiters: readonly OrderedWaiter[],
  { available, reserve }: AvailableRetries,
): RetryNeed[] {
  let waiting = 0;
  let missing = 0;
  return RETRY_CLASSES.flatMap((retryClass) => {
    const ofClass = waiters.filter(({ request }) => request.class === retryClass).length;
    waiting += ofClass;
    const required = waiting + countRequired(retryClass, reserve) - 1;
    const retries = ofClass === 0 ? 0 : required - Math.max(0, available) - missing;
    missing += Math.max(0, retries);
    return retries > 0 ? [{ class: retryClass, retries }] : [];
  });
}

/**
 * Retries to lend for the needs of a peer, out of the own part. Own waiting requests of the same or
 * a better class keep what they need, and streams keep their reserve from calls and hedges.
 */
export function planLoan(
  needs: readonly RetryNeed[],
  own: AvailableRetries,
  waiters: readonly OrderedWaiter[],
): number {
  const sorted = [...needs].sort((a, b) => orderOfClass(a.class) - orderOfClass(b.class));
  return sorted.reduce((lent, need) => {
    const order = orderOfClass(need.class);
    const kept = waiters.filter(({ request }) => orderOfClass(request.class) <= order).length;
    const reserve = order < orderOfClass('call-repeat') ? 0 : own.reserve;
    const spare = own.available - kept - reserve - lent;
    return lent + Math.max(0, Math.min(need.retries, spare));
  }, 0);
}
