/** Tracks the attempts of one streamed request and decides whether another one is allowed. */
import { LimeleadError, type ErrorAnswerOverrides } from '@limelead/errors';
import type { LossCause } from '@limelead/track-service-targets';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { MAX_REJECTED_ATTEMPTS } from './limits.js';
import AttemptBudget, { type RefundAttempt } from './attempt-budget.js';
import type { RejectionCause } from './stream-attempt.js';

/** Counts attempts and enforces their limits. */
export default class StreamAttemptTracker {
  private attempts = 0;
  private rejectedAttempts = 0;
  private readonly budget: AttemptBudget;
  private refundLast: RefundAttempt = () => undefined;
  /** Attempts that a target may have run. */
  private possibleRuns = 0;
  /** Targets that may have run the request, with the cause if the target was lost. */
  private readonly possibleRunTargets = new Map<string, LossCause | undefined>();

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
  ) {
    this.budget = new AttemptBudget(context, admitted);
  }

  get count(): number {
    return this.attempts;
  }

  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  recordAttempt(targetId: string): void {
    this.attempts += 1;
    this.possibleRuns += 1;
    this.possibleRunTargets.set(targetId, undefined);
    this.refundLast = this.budget.recordAttempt();
  }

  recordLoss(targetId: string, cause: LossCause): void {
    this.possibleRunTargets.set(targetId, cause);
  }

  /** The target did not run the request. */
  recordRejection(targetId: string, cause: RejectionCause): void {
    this.possibleRuns -= 1;
    this.possibleRunTargets.delete(targetId);
    this.rejectedAttempts += 1;
    if (cause === 'unreachable') {
      this.refundLast();
    }
  }

  /** Error that forbids any further attempt; undefined while attempts are allowed. */
  findFinalError(): LimeleadError | undefined {
    if (this.mayHaveRun && !this.admitted.route.repeatable) {
      const message = 'the request may have run and is not repeatable';
      return this.createError('outcome-unknown', message);
    }
    if (this.rejectedAttempts > MAX_REJECTED_ATTEMPTS) {
      return this.createError('overloaded', 'too many targets rejected the request');
    }
    if (this.hasReachedMaxTargets) {
      const message = 'the request ran at the maximum number of targets of its route';
      return this.createError('recovery-exhausted', message);
    }
    return undefined;
  }

  /** Counts only targets that are still present; lost targets do not count. */
  get hasReachedMaxTargets(): boolean {
    const { directory } = this.context;
    const present = [...this.possibleRunTargets].filter(([id, cause]) =>
      directory.isLikelyRunning(id, cause),
    );
    return present.length >= this.admitted.route.maxTargets;
  }

  /** Takes the next attempt from the retry budget; false if the budget is exhausted. */
  trySpendRetry(): boolean {
    return this.budget.trySpend();
  }

  /** Creates an error with execution "unknown" if the request may have run. */
  createError(
    kind: LimeleadError['kind'],
    message: string,
    overrides: ErrorAnswerOverrides = {},
  ): LimeleadError {
    const execution = this.mayHaveRun ? ('unknown' as const) : undefined;
    return new LimeleadError(kind, message, { ...overrides, execution });
  }
}
