/**
 * Retry budget of one VM for one service as a queue of requests for retries. While budget is
 * available, a request gets its retry at once; otherwise it waits and is served by priority as soon
 * as budget comes: from own first attempts, from the moving window, from a peer, or returned.
 */
import type { CancelTimer, Clock, Millis, Random, RetryNeed, Timers } from '@limelead/types';
import {
  countRequired,
  listNeeds,
  orderWaiters,
  planLoan,
  type AvailableRetries,
} from './order-waiters.js';
import RetryBudgetTracker, {
  type HeldRetry,
  type RetryBudgetLimits,
} from './retry-budget-tracker.js';
import {
  isStreamClass,
  type RetryDecision,
  type RetryRequest,
  type RetryRequestEnd,
} from './retry-request.js';

/**
 * Share of the allowed retries that is used. The rest covers what the VMs cannot know of each
 * other: several VMs that started at once and that others do not count yet, and first attempts that
 * leave the window between the grant of a retry and its attempt.
 */
const USABLE_SHARE = 0.95;
/**
 * Share of the allowed retries that only streams may use. With four failure domains, a loss breaks
 * a quarter of the running streams; at streams that last as long as the window this is 0.25 of the
 * first attempts, out of an allowed 0.8.
 */
const STREAM_RESERVE_SHARE = 0.3;
/** Time in which peers answer; a request is not refused before, since they may lend. */
const BORROW_WAIT_MS = 50;
/** Spread of the returns of refused callers. */
const MAX_RETRY_AFTER_JITTER_MS = 1_000;
/** Shortest timer, for a clock that is slightly behind its timers. */
const MIN_TIMER_MS = 1;

/** Dependencies of a `PrioritisedRetryBudget`. */
export interface PrioritisedRetryBudgetOptions {
  limits: RetryBudgetLimits;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Number of VMs that share the slack, including this one. */
  countVms(): number;
  /** Called when few or no retries are left. */
  onLow(): void;
  /** Asks peers for the retries that waiting requests lack; false if there is no peer. */
  borrowForWaiters?(): boolean;
  /** Called when a request is granted, refused or withdrawn. */
  onRequestEnded?(end: RetryRequestEnd): void;
}

interface Waiter {
  id: number;
  request: RetryRequest;
  sinceMs: Millis;
  /** False until the request could not be decided at once. */
  hasWaited: boolean;
  onDecision(decision: RetryDecision): void;
}

/** Grants the retries of one service by priority. */
export default class PrioritisedRetryBudget extends RetryBudgetTracker {
  private waiters: Waiter[] = [];
  private lastId = 0;
  private isServing = false;
  private cancelTimer: CancelTimer = () => undefined;
  private streamsSeenAtMs: Millis = -Infinity;

  constructor(private readonly options: PrioritisedRetryBudgetOptions) {
    super(options.limits, () => options.onLow(), USABLE_SHARE);
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Retries that the waiting requests lack, the most valuable class first. */
  get needs(): RetryNeed[] {
    const { clock, countVms } = this.options;
    const available = this.countAvailable(clock.now(), countVms());
    return listNeeds(this.waiters, { available, reserve: this.countReserve(clock.now()) });
  }

  /**
   * Requests one retry. `onDecision` is called once, before this returns if it can be decided now.
   * Returns a function that withdraws the request.
   */
  requestRetry(request: RetryRequest, onDecision: (decision: RetryDecision) => void): () => void {
    const { clock, countVms } = this.options;
    const now = clock.now();
    if (isStreamClass(request.class)) {
      this.streamsSeenAtMs = now;
    }
    this.lastId += 1;
    const waiter: Waiter = {
      ...{ id: this.lastId, request, onDecision },
      ...{ sinceMs: now, hasWaited: false },
    };
    this.waiters.push(waiter);
    this.serve();
    waiter.hasWaited = true;
    if (this.waiters.length === 0) {
      this.reportIfLow(now, countVms());
    }
    return () => {
      if (this.remove(waiter)) {
        this.reportEnd(waiter, 'withdrawn');
        this.schedule();
      }
    };
  }

  override changeLimits(limits: RetryBudgetLimits): void {
    super.changeLimits(limits);
    this.serve();
  }

  /** @param isStream true if the request is a stream, for which a reserve is kept */
  override recordFirstAttempt(now: Millis, isStream = false): void {
    super.recordFirstAttempt(now);
    if (isStream) {
      this.streamsSeenAtMs = now;
    }
    this.serve();
  }

  override release(retry: HeldRetry): void {
    super.release(retry);
    this.serve();
  }

  override refund(now: Millis): void {
    super.refund(now);
    this.serve();
  }

  override borrow(now: Millis, retries: number): void {
    super.borrow(now, retries);
    this.serve();
  }

  /** Lends retries for the needs of a peer and returns their number, which may be 0. */
  lendForNeeds(needs: readonly RetryNeed[]): number {
    const { clock, countVms } = this.options;
    const now = clock.now();
    const own: AvailableRetries = {
      available: this.countOwnAvailable(now, countVms()),
      reserve: this.countReserve(now),
    };
    return this.lend(now, countVms(), planLoan(needs, own, this.waiters));
  }

  /** Grants what is available, refuses what cannot be granted in time, and sets the timer. */
  private serve(): void {
    // Callbacks of decisions may return or request retries; the loops below see their changes.
    if (this.isServing || this.waiters.length === 0) {
      return;
    }
    this.isServing = true;
    try {
      while (this.grantFirst());
      const canBorrow = this.waiters.length > 0 && (this.options.borrowForWaiters?.() ?? false);
      while (this.grantFirst());
      while (this.refuseOne(canBorrow));
    } finally {
      this.isServing = false;
    }
    this.schedule();
  }

  private grantFirst(): boolean {
    const { clock, countVms } = this.options;
    const now = clock.now();
    const inTime = this.waiters.filter(({ request }) => request.untilMs >= now);
    const [first] = orderWaiters(inTime, now);
    if (first === undefined) {
      return false;
    }
    const required = countRequired(first.request.class, this.countReserve(now));
    const isEnough = required === 1 || this.countAvailable(now, countVms()) >= required;
    const retry = isEnough ? this.take(now, countVms()) : undefined;
    if (retry === undefined) {
      return false;
    }
    this.remove(first);
    this.reportEnd(first, 'granted');
    first.onDecision({ outcome: 'granted', retry });
    return true;
  }

  /** Refuses one request whose time is over or that is expected to get no retry in time. */
  private refuseOne(canBorrow: boolean): boolean {
    const now = this.options.clock.now();
    const hopeless = this.waiters.find(
      (waiter) => waiter.request.untilMs <= now || this.isHopeless(waiter, now, canBorrow),
    );
    return hopeless !== undefined && this.refuse(hopeless, now);
  }

  private isHopeless(waiter: Waiter, now: Millis, canBorrow: boolean): boolean {
    const { request, sinceMs } = waiter;
    if (request.refusesEarly !== true || (canBorrow && now < sinceMs + BORROW_WAIT_MS)) {
      return false;
    }
    return now + this.expectWaitMs(waiter, now) > request.untilMs;
  }

  private refuse(waiter: Waiter, now: Millis): boolean {
    const jitterMs = this.options.random.next() * MAX_RETRY_AFTER_JITTER_MS;
    const retryAfterMs = this.expectWaitMs(waiter, now) + jitterMs;
    this.remove(waiter);
    this.reportEnd(waiter, 'refused');
    waiter.onDecision({ outcome: 'refused', retryAfterMs });
    return true;
  }

  /** Time until the request is expected to get a retry if first attempts keep coming as now. */
  private expectWaitMs(waiter: Waiter, now: Millis): Millis {
    const ahead = orderWaiters(this.waiters, now).indexOf(waiter);
    const wanted = this.countMissing(waiter, ahead, now);
    const vms = this.options.countVms();
    const atMs = this.findAvailableAt(now, vms, { wanted, isSteady: true });
    return atMs === undefined ? this.limits.windowMs : Math.max(0, atMs - now);
  }

  /** Own retries that have to be available before the request gets one. */
  private countMissing({ request }: Waiter, ahead: number, now: Millis): number {
    const required = countRequired(request.class, this.countReserve(now));
    return ahead + required - this.countBorrowed(now);
  }

  /** Sets the timer for the next moment at which a request can be decided without another event. */
  private schedule(): void {
    this.cancelTimer();
    this.cancelTimer = () => undefined;
    const { clock, timers, countVms } = this.options;
    const now = clock.now();
    const [first] = orderWaiters(this.waiters, now);
    if (first === undefined) {
      return;
    }
    const wanted = this.countMissing(first, 0, now);
    const budgetAtMs = this.findAvailableAt(now, countVms(), { wanted, isSteady: false });
    const borrowedAtMs = this.waiters
      .filter(({ request, sinceMs }) => request.refusesEarly && sinceMs + BORROW_WAIT_MS > now)
      .map(({ sinceMs }) => sinceMs + BORROW_WAIT_MS);
    const endsAtMs = this.waiters.map(({ request }) => request.untilMs);
    const nextMs = Math.min(budgetAtMs ?? Infinity, ...borrowedAtMs, ...endsAtMs);
    this.cancelTimer = timers.after(Math.max(MIN_TIMER_MS, nextMs - now), () => this.serve());
  }

  private countReserve(now: Millis): number {
    const hasStreams = now - this.streamsSeenAtMs <= this.limits.windowMs;
    const allowed = this.countAllowed(now, this.options.countVms());
    return hasStreams ? STREAM_RESERVE_SHARE * allowed : 0;
  }

  /** Returns false if the request was already decided or withdrawn. */
  private remove(waiter: Waiter): boolean {
    const before = this.waiters.length;
    this.waiters = this.waiters.filter((other) => other !== waiter);
    return this.waiters.length < before;
  }

  private reportEnd(
    { request, sinceMs, hasWaited }: Waiter,
    outcome: RetryRequestEnd['outcome'],
  ): void {
    const waitedMs = this.options.clock.now() - sinceMs;
    this.options.onRequestEnded?.({ request, outcome, waitedMs, hasWaited });
  }
}
