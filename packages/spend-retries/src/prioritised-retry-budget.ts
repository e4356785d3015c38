/**
 * Retry budget of one VM for one service as a queue of requests for retries. While budget is
 * available, a request gets its retry at once; otherwise it waits and is served by priority as soon
 * as budget comes: from own first attempts, from the moving window, from a peer, or returned.
 */
import type { CancelTimer, Clock, Millis, Random, RetryNeed, Timers } from '@limelead/types';
import {
  countRequired,
  findFirstWaiter,
  listNeeds,
  orderWaiters,
  planLoan,
  type AvailableRetries,
} from './order-waiters.js';
import RetryBudgetTracker, {
  findAvailableAt,
  type HeldRetry,
  type RetryBudgetLimits,
} from './retry-budget-tracker.js';
import {
  isStreamClass,
  type RetryClass,
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
  /** Time since which all attempts of this VM are recorded; unlimited if undefined. */
  knownSinceMs?: Millis;
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
    super(options.limits, () => options.onLow(), USABLE_SHARE, options.knownSinceMs);
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
    const waiter = { id: this.lastId, request, onDecision, sinceMs: now, hasWaited: false };
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

  /** Whether a request of the class would get a retry at once. */
  canGrant(retryClass: RetryClass): boolean {
    const now = this.options.clock.now();
    const vms = this.options.countVms();
    const required = countRequired(retryClass, this.countReserve(now));
    return this.canTake(now, vms) && (required === 1 || this.countAvailable(now, vms) >= required);
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
      do {
        while (this.grantFirst());
      } while (this.refuseOne(canBorrow));
    } finally {
      this.isServing = false;
    }
    this.schedule();
  }

  private grantFirst(): boolean {
    const { clock, countVms } = this.options;
    const now = clock.now();
    // Checked before the order is formed: each first attempt of the service passes here.
    if (!this.canTake(now, countVms())) {
      return false;
    }
    const inTime = this.waiters.filter(({ request }) => request.untilMs >= now);
    const first = findFirstWaiter(inTime, now);
    const retry =
      first && this.canGrant(first.request.class) ? this.take(now, countVms()) : undefined;
    if (first === undefined || retry === undefined) {
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
    const couldBeRefused = this.waiters.filter(
      ({ request, sinceMs }) =>
        request.untilMs <= now ||
        (request.refusesEarly === true && !(canBorrow && now < sinceMs + BORROW_WAIT_MS)),
    );
    if (couldBeRefused.length === 0) {
      return false;
    }
    const waits = this.expectWaits(now);
    const refused = couldBeRefused.find(
      ({ id, request }) => request.untilMs <= now || now + (waits.get(id) ?? 0) > request.untilMs,
    );
    if (refused !== undefined) {
      this.refuse(refused, waits.get(refused.id) ?? 0);
    }
    return refused !== undefined;
  }

  private refuse(waiter: Waiter, expectedWaitMs: Millis): void {
    const jitterMs = this.options.random.next() * MAX_RETRY_AFTER_JITTER_MS;
    this.remove(waiter);
    this.reportEnd(waiter, 'refused');
    waiter.onDecision({ outcome: 'refused', retryAfterMs: expectedWaitMs + jitterMs });
  }

  /**
   * Times by id until each waiting request is expected to get a retry if first attempts keep coming as
   * now. Computed for all at once, since many wait after the loss of a failure domain.
   */
  private expectWaits(now: Millis): Map<number, Millis> {
    const forecast = this.forecast(now, this.options.countVms(), true);
    const reserve = this.countReserve(now);
    const borrowed = this.countBorrowed(now);
    const ordered = orderWaiters(this.waiters, now);
    return new Map(
      ordered.map(({ id, request }, ahead) => {
        const wanted = ahead + countRequired(request.class, reserve) - borrowed;
        const atMs = findAvailableAt(forecast, wanted);
        return [id, atMs === undefined ? this.limits.windowMs : Math.max(0, atMs - now)];
      }),
    );
  }

  /** Sets the timer for the next moment at which a request can be decided without another event. */
  private schedule(): void {
    this.cancelTimer();
    this.cancelTimer = () => undefined;
    const { clock, timers, countVms } = this.options;
    const now = clock.now();
    const first = findFirstWaiter(this.waiters, now);
    if (first === undefined) {
      return;
    }
    const required = countRequired(first.request.class, this.countReserve(now));
    const wanted = required - this.countBorrowed(now);
    const budgetAtMs = findAvailableAt(this.forecast(now, countVms(), false), wanted);
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
