/**
 * Limits the attempts of one request. The first attempt that reaches a target is free;
 * each later one takes a retry from the retry budget that all VMs share. Attempts that
 * reach no target are free.
 */
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';

/** Refunds an attempt that reached no target. */
export type RefundAttempt = () => void;

/** Fields of a request that identify its budget and its log lines. */
type BudgetedRequest = Pick<AdmittedRequest, 'service'> & {
  request: Pick<AdmittedRequest['request'], 'requestId'>;
};

/** Budget for the attempts of one request. */
export default class AttemptBudget {
  private attempts = 0;
  /** Attempts that are not known to have failed before they reached a target. */
  private arrivedAttempts = 0;
  /** True if a retry was spent on the next attempt. */
  private hasSpentRetry = false;

  constructor(
    private readonly context: Pick<ForwardContext, 'clock' | 'countVms' | 'log' | 'retryBudgetOf'>,
    private readonly request: BudgetedRequest,
  ) {}

  /** Spends a retry on the next attempt if it needs one; false if the budget is exhausted. */
  trySpend(): boolean {
    if (this.arrivedAttempts === 0) {
      this.hasSpentRetry = false;
      return true;
    }
    const { clock, countVms } = this.context;
    this.hasSpentRetry = this.retryBudget.trySpend(clock.now(), countVms());
    if (!this.hasSpentRetry) {
      this.logExhausted();
    }
    return this.hasSpentRetry;
  }

  /** Records an attempt and returns the function that refunds it. */
  recordAttempt(): RefundAttempt {
    const spentRetry = this.hasSpentRetry;
    this.hasSpentRetry = false;
    this.arrivedAttempts += 1;
    this.attempts += 1;
    if (this.attempts === 1) {
      this.retryBudget.recordFirstAttempt(this.context.clock.now());
    }
    return () => {
      this.arrivedAttempts -= 1;
      if (spentRetry) {
        this.retryBudget.refund(this.context.clock.now());
      }
    };
  }

  private logExhausted(): void {
    const { service, request } = this.request;
    this.context.log.write('repeat-unpaid', {
      requestId: request.requestId,
      service,
      attempts: this.attempts,
    });
  }

  private get retryBudget(): ReturnType<ForwardContext['retryBudgetOf']> {
    return this.context.retryBudgetOf(this.request.service);
  }
}
