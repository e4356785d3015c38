/**
 * Limits the attempts of one request. The first attempt that reaches a target is free;
 * each later one takes a retry from the retry budget that all VMs share. Attempts that
 * reach no target are free: their retry stays with the request for its next attempt.
 */
import type { HeldRetry, RetryRequest } from '@limelead/spend-retries';
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** Refunds an attempt that reached no target. */
export type RefundAttempt = () => void;

/** What an attempt is for, and until when it is of use. */
export type AttemptPurpose = Omit<RetryRequest, 'requestId'>;

/** Whether an attempt may be made. */
export type AttemptDecision =
  { outcome: 'granted' } | { outcome: 'refused'; /** Includes jitter. */ retryAfterMs: Millis };

/** Fields of a request that identify its budget and its log lines. */
type BudgetedRequest = Pick<AdmittedRequest, 'service'> & {
  request: Pick<AdmittedRequest['request'], 'requestId'>;
};

/** Budget for the attempts of one request. */
export default class AttemptBudget {
  private attempts = 0;
  /** Attempts that are not known to have failed before they reached a target. */
  private arrivedAttempts = 0;
  /** Retry for the next attempt. */
  private held: HeldRetry | undefined;
  /** Retries of attempts that are not known to have failed before they reached a target. */
  private sent: HeldRetry[] = [];
  private isClosed = false;

  constructor(
    private readonly context: Pick<ForwardContext, 'clock' | 'log' | 'retryBudgetOf'>,
    private readonly request: BudgetedRequest,
    private readonly isStream = false,
  ) {}

  /**
   * Requests the retry that the next attempt needs. `onDecision` is called once, before this
   * returns if it can be decided now. Returns a function that withdraws the request.
   */
  requestAttempt(
    purpose: AttemptPurpose,
    onDecision: (decision: AttemptDecision) => void,
  ): () => void {
    if (this.arrivedAttempts === 0 || this.held !== undefined) {
      onDecision({ outcome: 'granted' });
      return () => undefined;
    }
    const { requestId } = this.request.request;
    return this.retryBudget.requestRetry({ ...purpose, requestId }, (decision) => {
      if (decision.outcome === 'granted') {
        this.hold(decision.retry);
      } else if (purpose.class !== 'hedge') {
        this.logRefused(purpose, decision.retryAfterMs);
      }
      onDecision(decision);
    });
  }

  /**
   * Records an attempt and returns the function that refunds it.
   * @param isRelayed true if another VM counts the first attempt
   */
  recordAttempt(isRelayed = false): RefundAttempt {
    const { clock } = this.context;
    const retry = this.held;
    this.held = undefined;
    if (retry !== undefined) {
      this.retryBudget.recordSent(retry, clock.now());
      this.sent.push(retry);
    }
    this.arrivedAttempts += 1;
    this.attempts += 1;
    if (this.attempts === 1 && !isRelayed) {
      this.retryBudget.recordFirstAttempt(clock.now(), this.isStream);
    }
    return () => this.refund(retry);
  }

  /** Returns an unused retry to the budget; the request makes no further attempt. */
  close(): void {
    this.isClosed = true;
    this.releaseRetry();
  }

  /** Returns an unused retry to the budget. */
  releaseRetry(): void {
    const { held } = this;
    this.held = undefined;
    if (held !== undefined) {
      this.retryBudget.release(held);
    }
  }

  /** @param retry undefined if the attempt was free; then another attempt needed none */
  private refund(retry: HeldRetry | undefined): void {
    this.arrivedAttempts -= 1;
    // The retry of this attempt may have been returned for a free one that reached no target either.
    const isSent = retry !== undefined && this.sent.includes(retry);
    const unneeded = isSent ? retry : this.sent.at(-1);
    if (unneeded !== undefined) {
      this.sent = this.sent.filter((other) => other !== unneeded);
      this.retryBudget.recordUnsent(unneeded);
      this.hold(unneeded);
    }
    this.releaseIfFree();
  }

  /** Returns a retry that was held for an attempt which has become the first to reach a target. */
  private releaseIfFree(): void {
    const { held } = this;
    if (this.arrivedAttempts === 0 && held !== undefined) {
      this.held = undefined;
      this.retryBudget.release(held);
    }
  }

  /** Keeps a retry for the next attempt if it needs one. */
  private hold(retry: HeldRetry): void {
    if (this.isClosed || this.arrivedAttempts === 0 || this.held !== undefined) {
      this.retryBudget.release(retry);
    } else {
      this.held = retry;
    }
  }

  private logRefused(purpose: AttemptPurpose, retryAfterMs: Millis): void {
    const { service, request } = this.request;
    this.context.log.write('repeat-unpaid', {
      requestId: request.requestId,
      service,
      attempts: this.attempts,
      class: purpose.class,
      rank: purpose.rank,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  private get retryBudget(): ReturnType<ForwardContext['retryBudgetOf']> {
    return this.context.retryBudgetOf(this.request.service);
  }
}
