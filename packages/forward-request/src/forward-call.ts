/**
 * Forwards one call to a plain service. A call that is not repeatable is retried only if
 * its target certainly did not run it. A repeatable call is retried after a failure and
 * hedged if its target is slow; the first good answer is returned.
 */
import { LimeleadError } from '@limelead/errors';
import type { GuardedRequest } from '@limelead/quarantine-requests';
import type { AnswerHead } from '@limelead/target-connections';
import type { CancelTimer } from '@limelead/types';
import {
  filterAnswerHeaders,
  writeWholeAnswer,
  type AnswerSink,
  type WholeAnswer,
} from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import CallAttempt, { type CallAttemptEvents } from './call-attempt.js';
import PacedSink from './paced-sink.js';
import { isRetriableAnswer, recordCallAnswer } from './call-answers.js';
import CallReport, { type CallOutcome } from './call-report.js';
import type { ForwardContext } from './context.js';
import createShutdownError from './create-shutdown-error.js';
import describeCallRefusal from './describe-call-refusal.js';
import guardAdmittedRequest from './guard-admitted-request.js';
import { MAX_REJECTED_ATTEMPTS, MIN_CALL_MS, MIN_SERVER_ERROR_STATUS } from './limits.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import AttemptBudget from './attempt-budget.js';
import reportAdmitted from './report-admitted.js';
import requestCallRetry from './request-call-retry.js';
import computeUnsentDelayMs from './unsent-backoff.js';

/** Longest idle time of a connection that a repeatable call reuses. */
const REPEATABLE_MAX_IDLE_MS = 10_000;
/** Other calls use a new connection, since the target may be closing an idle one. */
const ONCE_MAX_IDLE_MS = 0;
/** Share of the objective after which a repeatable call is hedged. */
const HEDGE_DELAY_SHARE = 0.5;
/** Time without new requests for a target that reported that it is full. */
const FULL_TARGET_PAUSE_MS = 25;

/** Starts to forward a call. The sink receives the answer or an error. */
export default function forwardCall(
  context: ForwardContext,
  admitted: AdmittedRequest,
  sink: AnswerSink,
): void {
  new CallForwarder(context, admitted, new PacedSink(context, admitted, sink)).begin();
}

class CallForwarder {
  private readonly attempts: CallAttempt[] = [];
  private readonly triedTargets = new Set<string>();
  /** Attempts that a target may have run. */
  private possibleRuns = 0;
  private rejectedAttempts = 0;
  /** Attempts that reached nobody. */
  private unsentAttempts = 0;
  private isDone = false;
  private isOverdue = false;
  private isShuttingDown = false;
  /** The attempt whose answer is streamed to the caller. */
  private streaming: CallAttempt | undefined;
  /** Error answer of the service; returned to the caller if no attempt succeeds. */
  private failure: WholeAnswer | undefined;
  private stopWaiting: () => void = () => undefined;
  private isWaiting = false;
  /** True if the waiting attempt is a hedge. */
  private isHedge = false;
  private readonly timers: CancelTimer[] = [];
  private readonly events: CallAttemptEvents = {
    onTooLongToBuffer: (attempt, head) => this.onTooLongToBuffer(attempt, head),
    onBuffered: (bytes) => this.sink.addHeldBytes(bytes),
    onData: (_, chunk) => this.sink.write(chunk),
    onEnd: (attempt, answer) => this.onEnd(attempt, answer),
    onFault: (attempt, notSent, reason) => this.onFault(attempt, notSent, reason),
    onRejected: (attempt, isOtherTarget) => this.onRejected(attempt, isOtherTarget),
  };
  private readonly budget: AttemptBudget;
  private readonly report: CallReport;
  private readonly guarded: GuardedRequest;
  private isQuarantined = false;
  private refusal: SlotRefusal | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly sink: PacedSink,
  ) {
    this.budget = new AttemptBudget(context, admitted);
    this.report = new CallReport(context, admitted);
    this.guarded = guardAdmittedRequest(context, admitted, () => this.onQuarantined());
  }

  begin(): void {
    const { clock, timers } = this.context;
    reportAdmitted(this.context, this.admitted);
    const remainingMs = this.admitted.dueAtMs - clock.now();
    this.timers.push(timers.after(Math.max(0, remainingMs), () => this.onOverdue()));
    this.sink.onCallerLeft(() => this.finish('caller-left'));
    this.sink.onShutdown(() => this.onShutdown());
    this.openAttempt();
  }

  private onOverdue(): void {
    this.isOverdue = true;
    this.giveUp();
  }

  private onShutdown(): void {
    this.isShuttingDown = true;
    this.giveUp();
  }

  private onQuarantined(): void {
    this.isQuarantined = true;
    this.giveUp();
  }

  private openAttempt(isHedge = false): void {
    const relaySlot = this.context.relay.acquire(this.admitted, this.triedTargets);
    if (relaySlot !== undefined) {
      this.isWaiting = false;
      this.send(relaySlot);
      return;
    }
    this.isWaiting = true;
    this.isHedge = isHedge;
    let isAnswered = false;
    const stopAsking = this.guarded.requestAdmission((admission) => {
      isAnswered = true;
      if (admission === 'refuse') {
        this.onQuarantined();
      } else {
        this.acquireSlot(admission === 'send-trial');
      }
    });
    if (!isAnswered) {
      this.stopWaiting = stopAsking;
    }
  }

  private acquireSlot(onlyLeastLoaded: boolean): void {
    const { isHedge, admitted } = this;
    const { service, request, rank, dueAtMs, receivedAtMs, route } = admitted;
    const { requestId } = request;
    const objectiveAtMs = receivedAtMs + route.objectiveMs;
    this.stopWaiting = this.context.slots.acquire(
      {
        ...{ requestId, service, affinityKey: requestId, exclude: this.triedTargets },
        ...{ admitted, rank, objectiveAtMs, onlyLeastLoaded, isHedge },
        ...{ untilMs: dueAtMs, minServiceMs: MIN_CALL_MS, bodyBytes: request.body.length },
      },
      (slot, refusal) => this.onSlot(slot, refusal),
    );
  }

  private onSlot(slot: Slot | undefined, refusal?: SlotRefusal): void {
    this.isWaiting = false;
    if (this.isDone) {
      slot?.release();
      return;
    }
    if (slot === undefined) {
      this.refusal = refusal;
      this.guarded.onNoTarget();
      this.giveUp();
      return;
    }
    this.send(slot);
  }

  private send(slot: Slot): void {
    const attempt = this.createAttempt(slot);
    this.attempts.push(attempt);
    this.triedTargets.add(attempt.target.id);
    this.possibleRuns += 1;
    const { request, organisation, rank, route, dueAtMs } = this.admitted;
    const { target } = attempt;
    const remainingMs = dueAtMs - this.context.clock.now();
    this.report.sent(attempt, remainingMs);
    const attemptRequest = { request, target, organisation, remainingMs, lastPiece: 0, rank };
    const maxIdleMs = route.repeatable ? REPEATABLE_MAX_IDLE_MS : ONCE_MAX_IDLE_MS;
    attempt.send(this.context, attemptRequest, maxIdleMs);
    if (route.repeatable && attempt.number === 1) {
      const delayMs = route.objectiveMs * HEDGE_DELAY_SHARE;
      this.timers.push(this.context.timers.after(delayMs, () => this.hedge()));
    }
  }

  private createAttempt(slot: Slot): CallAttempt {
    const { target } = slot.tracked;
    return new CallAttempt({
      number: this.attempts.length + 1,
      slot,
      refund: this.budget.recordAttempt(target.isHelper),
      events: this.events,
      run: target.isHelper === true ? undefined : this.guarded.startRun(target),
    });
  }

  private hedge(): void {
    const canHedge = !this.isWaiting && this.hasOpenAttempt && !this.guarded.isSuspected;
    // A hedge would take the place of a call that waits.
    const isQueued = this.context.slots.isQueued(this.admitted.service);
    if (!this.isDone && canHedge && !isQueued && this.streaming === undefined) {
      this.tryRetry(true);
    }
  }

  private onTooLongToBuffer(attempt: CallAttempt, head: AnswerHead): void {
    const isOther = (other: CallAttempt): boolean => other !== attempt && !other.isOver;
    const isHopeless = this.possibleRuns >= this.admitted.route.maxTargets;
    const isReplaceable = !isHopeless || this.isWaiting || this.attempts.some(isOther);
    if (isReplaceable && isRetriableAnswer(this.admitted, attempt, head.status)) {
      // The caller gets another answer, so the rest of this one is not read.
      attempt.endUnread();
      recordCallAnswer(this.context, this.report, attempt, false);
      this.report.failed(attempt, false, `status ${head.status} with a long body`);
      this.retryFailed();
    } else {
      this.beginStreaming(attempt, head);
    }
  }

  /** Streams an answer that is too long to buffer and cancels the other attempts. */
  private beginStreaming(attempt: CallAttempt, head: AnswerHead): void {
    this.streaming = attempt;
    this.stopWaiting();
    this.sink.readFrom(attempt);
    attempt.run?.recordOutput();
    this.reportUnanswered('answered', attempt);
    this.cancelOthers(attempt);
    const length = head.headers.get('content-length');
    this.sink.begin(
      head.status,
      filterAnswerHeaders(head.rawHeaders),
      length === undefined ? undefined : Number(length),
    );
    attempt.startStreaming().forEach((held) => this.sink.write(held));
  }

  private onEnd(attempt: CallAttempt, answer: WholeAnswer): void {
    const { status } = answer.head;
    recordCallAnswer(this.context, this.report, attempt, status < MIN_SERVER_ERROR_STATUS);
    if (this.streaming === attempt) {
      this.sink.end();
      this.finish('answered', attempt, status);
      return;
    }
    if (!isRetriableAnswer(this.admitted, attempt, status)) {
      this.deliver(answer, attempt);
      return;
    }
    this.report.failed(attempt, false, `status ${status}`);
    this.sink.addHeldBytes(answer.body.length - (this.failure?.body.length ?? 0));
    this.failure = answer;
    this.retryFailed();
  }

  private onFault(attempt: CallAttempt, notSent: boolean, reason: string): void {
    const kind = notSent ? 'lost' : 'failed';
    this.context.directory.observe(attempt.target.id, { kind });
    this.report.failed(attempt, notSent, reason);
    if (!notSent) {
      // A call that may have been sent counts as started; usage was too low by 107 of 589 without.
      this.report.runStarted(attempt);
      if (!this.guarded.isSuspected) {
        this.report.attemptEnded(attempt, false);
      }
      // A VM that relays and ends is no evidence against the request.
      attempt.run?.recordBroken();
    } else {
      attempt.run?.recordNotRun();
    }
    if (this.streaming === attempt) {
      this.sink.abort(new LimeleadError('outcome-unknown', 'the target broke off its answer'));
      this.finish('broke-off', attempt);
      return;
    }
    if (notSent) {
      attempt.refund();
      this.possibleRuns -= 1;
      this.unsentAttempts += 1;
      this.retryRejected();
    } else {
      this.guarded.afterChecks(() => this.retryFailed());
    }
  }

  private onRejected(attempt: CallAttempt, isOtherTarget: boolean): void {
    const { id } = attempt.target;
    this.possibleRuns -= 1;
    this.rejectedAttempts += 1;
    this.context.directory.observe(
      id,
      isOtherTarget ? { kind: 'replaced' } : { kind: 'full', pauseMs: FULL_TARGET_PAUSE_MS },
    );
    this.report.rejected(attempt, isOtherTarget);
    attempt.run?.recordNotRun();
    if (attempt.isRelayed) {
      // Nothing arrived at a target.
      attempt.refund();
    } else if (!isOtherTarget) {
      this.triedTargets.delete(id);
    }
    this.retryRejected();
  }

  private retryRejected(): void {
    if (this.isDone || this.replaceHedgeByRetry() || this.hasPendingAttempt()) {
      return;
    }
    const isReturned = this.possibleRuns === 0 && this.context.relay.mustDecline(this.admitted);
    if (isReturned || this.rejectedAttempts > MAX_REJECTED_ATTEMPTS) {
      this.giveUp();
    } else {
      this.retryAfterBackoff();
    }
  }

  private retryAfterBackoff(): void {
    const { relay, timers } = this.context;
    const delayMs = computeUnsentDelayMs(this.admitted.request.requestId, this.unsentAttempts);
    if (delayMs === 0 || relay.isNeeded(this.admitted)) {
      this.requestRetry();
      return;
    }
    this.isWaiting = true;
    this.stopWaiting = timers.after(delayMs, () => this.requestRetry());
  }

  private retryFailed(): void {
    if (this.isDone || this.replaceHedgeByRetry() || this.hasPendingAttempt()) {
      return;
    }
    if (!this.tryRetry()) {
      this.giveUp();
    }
  }

  private tryRetry(isHedge = false): boolean {
    const { route } = this.admitted;
    if (!route.repeatable || this.possibleRuns >= route.maxTargets) {
      return false;
    }
    this.requestRetry(isHedge);
    return true;
  }

  private requestRetry(isHedge = false): void {
    this.isWaiting = true;
    this.isHedge = isHedge;
    const withdraw = requestCallRetry(this.budget, this.admitted, isHedge, (refusal) =>
      refusal === undefined ? this.openAttempt(isHedge) : this.onRetryRefused(refusal),
    );
    this.stopWaiting = withdraw ?? this.stopWaiting;
  }

  private onRetryRefused(refusal: SlotRefusal): void {
    this.isWaiting = false;
    if (!this.hasOpenAttempt) {
      this.refusal = this.possibleRuns === 0 ? refusal : undefined;
      this.giveUp();
    }
  }

  /** Turns a waiting hedge into a retry if no other attempt is left, so that it may use a permit. */
  private replaceHedgeByRetry(): boolean {
    const isOnlyOne = this.isWaiting && this.isHedge && !this.hasOpenAttempt;
    if (isOnlyOne) {
      this.stopWaiting();
      this.requestRetry();
    }
    return isOnlyOne;
  }

  private hasPendingAttempt(): boolean {
    return this.isWaiting || this.hasOpenAttempt;
  }

  private get hasOpenAttempt(): boolean {
    return this.attempts.some(({ isOver }) => !isOver);
  }

  private deliver(answer: WholeAnswer, attempt?: CallAttempt): void {
    writeWholeAnswer(this.sink, answer);
    this.finish('answered', attempt, answer.head.status);
  }

  /** Ends the call with the best answer available. */
  private giveUp(): void {
    if (this.isDone) {
      return;
    }
    if (this.streaming !== undefined) {
      this.sink.abort(this.describeBreak());
    } else if (this.failure !== undefined) {
      this.deliver(this.failure);
      return;
    } else {
      this.sink.refuse(this.describeRefusal());
    }
    this.finish('given-up');
  }

  private describeBreak(): LimeleadError {
    return this.isShuttingDown
      ? createShutdownError(true)
      : new LimeleadError('deadline-passed', 'the deadline passed before the answer was complete');
  }

  private describeRefusal(): LimeleadError {
    return describeCallRefusal(this.context, this.admitted, {
      quarantineLeftMs: this.isQuarantined ? this.guarded.quarantineLeftMs : undefined,
      refusal: this.refusal,
      mayHaveRun: this.possibleRuns > 0,
      isOverdue: this.isOverdue,
      isShuttingDown: this.isShuttingDown,
    });
  }

  private cancelOthers(kept?: CallAttempt): void {
    this.attempts.filter((attempt) => attempt !== kept).forEach((attempt) => attempt.cancel());
  }

  /** Reports open attempts: as failed after the deadline, as abandoned unless the caller left. */
  private reportUnanswered(outcome: CallOutcome['outcome'], answered?: CallAttempt): void {
    const open = this.attempts.filter((attempt) => attempt !== answered && !attempt.isOver);
    if (this.isOverdue) {
      open.forEach((attempt) => this.report.attemptEnded(attempt, false));
    } else if (outcome !== 'caller-left') {
      open.forEach((attempt) => this.report.attemptAbandoned(attempt));
    }
  }

  private finish(outcome: CallOutcome['outcome'], attempt?: CallAttempt, status?: number): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    this.stopWaiting();
    this.budget.close();
    this.timers.forEach((cancel) => cancel());
    this.reportUnanswered(outcome, attempt);
    this.cancelOthers();
    this.guarded.close();
    this.report.finished({
      outcome,
      status,
      target: attempt?.target.id,
      attempts: this.attempts.length,
      ran: this.possibleRuns,
    });
    this.context.observer.onFinished?.(this.admitted);
  }
}
