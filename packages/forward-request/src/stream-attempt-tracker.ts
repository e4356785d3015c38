/** Tracks the attempts of one streamed request and decides whether another one is allowed. */
import { LimeleadError, type ErrorAnswerOverrides } from '@limelead/errors';
import type { RetryClass } from '@limelead/spend-retries';
import type { LossCause } from '@limelead/track-service-targets';
import type { Millis } from '@limelead/types';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { MAX_REJECTED_ATTEMPTS } from './limits.js';
import AttemptBudget, { type AttemptDecision, type RefundAttempt } from './attempt-budget.js';
import type { RejectionCause } from './stream-attempt.js';
import { DEFAULT_MAX_PAUSE_MS } from './to-generation-request.js';

/** Progress of a stream that determines the priority of its next attempt. */
export interface StreamProgress {
  /** Number of the last piece that the caller has received; 0 for none. */
  delivered: number;
  /** Steady time of the last piece; of the start if there is none. */
  lastDeliveredAtMs: Millis;
  hasReplica: boolean;
}

/** Class of the retry of a run that moves to its replica. */

function classOf({ delivered, hasReplica }: StreamProgress): RetryClass {
  if (delivered === 0) {
    return 'stream-unwritten';
  }
  return hasReplica ? 'stream-with-replica' : 'stream-written';
}

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
    this.budget = new AttemptBudget(context, admitted, true);
  }

  get count(): number {
    return this.attempts;
  }

  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  /** @param isRelayed true if another VM counts the first attempt */
  recordAttempt(targetId: string, isRelayed = false): void {
    this.attempts += 1;
    this.possibleRuns += 1;
    this.possibleRunTargets.set(targetId, undefined);
    this.refundLast = this.budget.recordAttempt(isRelayed);
  }

  recordLoss(targetId: string, cause: LossCause): void {
    this.possibleRunTargets.set(targetId, cause);
  }

  /** A run that was counted as lost has written again. */
  recordReturn(targetId: string): void {
    this.possibleRunTargets.set(targetId, undefined);
  }

  /**
   * The target did not run the request.
   * @param isRelayed true if another VM declined it, so that it arrived at no target
   */
  recordRejection(targetId: string, cause: RejectionCause, isRelayed = false): void {
    this.possibleRuns -= 1;
    this.possibleRunTargets.delete(targetId);
    this.rejectedAttempts += 1;
    if (cause === 'unreachable' || isRelayed) {
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

  /**
   * Requests the next attempt from the retry budget. A stream that may have run waits until its
   * deadline, since its target may be the only other one that could complete it; one that has not
   * run is refused as soon as no retry is expected in time. `onDecision` gets the error if it is
   * refused. Returns a function that withdraws the request.
   */
  requestRetry(
    progress: StreamProgress,
    onDecision: (refusal: LimeleadError | undefined) => void,
  ): () => void {
    const { mayHaveRun, admitted } = this;
    const { route, rank, receivedAtMs, dueAtMs } = admitted;
    const pauseEndsAtMs = progress.lastDeliveredAtMs + (route.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS);
    return this.budget.requestAttempt(
      {
        class: classOf(progress),
        rank,
        lateAtMs: progress.delivered > 0 ? pauseEndsAtMs : receivedAtMs + route.objectiveMs,
        untilMs: mayHaveRun ? dueAtMs : dueAtMs - this.context.prefill.minMs(admitted),
        refusesEarly: !mayHaveRun,
      },
      (decision) => onDecision(this.toRefusal(decision)),
    );
  }

  /** Returns an unused retry: the next attempt is not needed now. */
  releaseRetry(): void {
    this.budget.releaseRetry();
  }

  /** Returns an unused retry; the stream makes no further attempt. */
  close(): void {
    this.budget.close();
  }

  private toRefusal(decision: AttemptDecision): LimeleadError | undefined {
    if (decision.outcome === 'granted') {
      return undefined;
    }
    const kind = this.mayHaveRun ? 'recovery-exhausted' : 'overloaded';
    const { retryAfterMs } = decision;
    return this.createError(kind, 'no retry was available in time', { retryAfterMs });
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
