/**
 * Carries one call to a plain service. A call that may run once is sent to
 * another target only where the first one certainly did not run it. One that
 * may be repeated is sent again after a failure and, when its target is slow,
 * a second time beside the first; the first good answer is taken.
 */
import { LimeleadError } from '@limelead/errors';
import type { GuardedRequest } from '@limelead/quarantine-requests';
import type { AnswerHead } from '@limelead/target-connections';
import type { CancelTimer } from '@limelead/types';
import {
  keepAnswerHeaders,
  passWholeAnswer,
  type AnswerSink,
  type WholeAnswer,
} from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import CallAttempt, { type CallAttemptEvents } from './call-attempt.js';
import CallReport, { type CallEnd } from './call-report.js';
import type { ForwardContext } from './context.js';
import { describeIdentity } from './identify-admitted.js';
import { MAX_TURNED_AWAY, QUARANTINED_MESSAGE, SERVER_ERROR_STATUS } from './limits.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import reportRefusal, { REFUSED_MESSAGE } from './report-refusal.js';
import SendPayments from './send-payments.js';

/** Rest of a connection that a call may use, in milliseconds. */
const REPEATABLE_MAX_IDLE_MS = 10_000;
/** A call that may run once takes a fresh connection, which no target closes meanwhile. */
const ONCE_MAX_IDLE_MS = 0;
/** Part of the objective after which a repeatable call is sent a second time. */
const HEDGE_SHARE = 0.5;
/** Least time that is worth a send behind a cooldown, in milliseconds. */
const LEAST_CALL_MS = 50;
/** How long a target that said it is full is left alone, in milliseconds. */
const FULL_PAUSE_MS = 25;

/** Starts forwarding. The answer, whatever it is, goes to the sink. */
export default function forwardCall(
  context: ForwardContext,
  admitted: AdmittedRequest,
  sink: AnswerSink,
): void {
  new CallForwarder(context, admitted, sink).begin();
}

class CallForwarder {
  private readonly attempts: CallAttempt[] = [];
  private readonly tried = new Set<string>();
  /** Sends that a target may have run. */
  private ran = 0;
  private turnedAway = 0;
  private isDone = false;
  private isOverdue = false;
  /** The attempt whose answer is passed on as it comes. */
  private streaming: CallAttempt | undefined;
  /** A failure that the service itself answered; given to the caller where nothing better comes. */
  private failure: WholeAnswer | undefined;
  private stopWaiting: () => void = () => undefined;
  private isWaiting = false;
  /** What waits is a second send beside the first. */
  private isExtra = false;
  private readonly timers: CancelTimer[] = [];
  private readonly events: CallAttemptEvents = {
    onLong: (attempt, head) => this.beginStreaming(attempt, head),
    onData: (_, chunk) => this.sink.write(chunk),
    onEnd: (attempt, answer) => this.onEnd(attempt, answer),
    onFault: (attempt, notSent, reason) => this.onFault(attempt, notSent, reason),
    onTurnedAway: (attempt, isOtherTarget) => this.onTurnedAway(attempt, isOtherTarget),
  };
  private readonly payments: SendPayments;
  private readonly report: CallReport;
  private readonly guarded: GuardedRequest;
  private isQuarantined = false;
  private refusal: SlotRefusal | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly sink: AnswerSink,
  ) {
    this.payments = new SendPayments(context, admitted);
    this.report = new CallReport(context, admitted);
    this.guarded = context.guard.guardRequest({
      request: describeIdentity(admitted),
      route: admitted.route.name,
      requestId: admitted.request.requestId,
      service: admitted.service,
      onQuarantined: () => this.onQuarantined(),
    });
  }

  begin(): void {
    const { clock, timers, observer } = this.context;
    observer.onAdmitted?.(this.admitted);
    const remainingMs = this.admitted.dueAtMs - clock.now();
    this.timers.push(timers.after(Math.max(0, remainingMs), () => this.onOverdue()));
    this.sink.onGone(() => this.finish('caller-left'));
    this.openAttempt();
  }

  private onOverdue(): void {
    this.isOverdue = true;
    this.giveUp();
  }

  private onQuarantined(): void {
    this.isQuarantined = true;
    this.giveUp();
  }

  private openAttempt(isExtra = false): void {
    this.isWaiting = true;
    this.isExtra = isExtra;
    let isAnswered = false;
    const stopAsking = this.guarded.requestAdmission((admission) => {
      isAnswered = true;
      if (admission === 'refuse') {
        this.onQuarantined();
      } else {
        this.acquireSlot(admission === 'go-alone');
      }
    });
    if (!isAnswered) {
      this.stopWaiting = stopAsking;
    }
  }

  private acquireSlot(avoidsOthers: boolean): void {
    const { service, request, rank, dueAtMs } = this.admitted;
    const { isExtra } = this;
    const { requestId } = request;
    this.stopWaiting = this.context.slots.acquire(
      {
        ...{ requestId, service, affinityKey: requestId, exclude: this.tried },
        ...{ rank, avoidsOthers, isExtra, untilMs: dueAtMs, serviceMs: LEAST_CALL_MS },
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
      this.guarded.recordInconclusiveRun();
      this.giveUp();
      return;
    }
    this.send(slot);
  }

  private send(slot: Slot): void {
    const attempt = this.createAttempt(slot);
    this.attempts.push(attempt);
    this.tried.add(attempt.target.id);
    this.ran += 1;
    const { request, organisation, rank, route, dueAtMs } = this.admitted;
    const { target } = attempt;
    const remainingMs = dueAtMs - this.context.clock.now();
    this.report.sent(attempt, remainingMs);
    const order = { request, target, organisation, remainingMs, lastPiece: 0, rank };
    const maxIdleMs = route.repeatable ? REPEATABLE_MAX_IDLE_MS : ONCE_MAX_IDLE_MS;
    attempt.send(this.context, order, maxIdleMs);
    if (route.repeatable && attempt.number === 1) {
      this.hedgeAfter(route.objectiveMs * HEDGE_SHARE);
    }
  }

  private createAttempt(slot: Slot): CallAttempt {
    return new CallAttempt({
      number: this.attempts.length + 1,
      slot,
      noteUnreached: this.payments.noteSent(),
      events: this.events,
    });
  }

  private hedgeAfter(delayMs: number): void {
    this.timers.push(this.context.timers.after(delayMs, () => this.hedge()));
  }

  private hedge(): void {
    const mayHedge = !this.isWaiting && this.isUnderWay && !this.guarded.isSuspected;
    if (!this.isDone && mayHedge && this.streaming === undefined) {
      this.tryAgain(true);
    }
  }

  /** A long answer is passed on as it comes; from here on no other can take its place. */
  private beginStreaming(attempt: CallAttempt, head: AnswerHead): void {
    this.streaming = attempt;
    this.guarded.recordHarmlessRun();
    this.tellUnanswered('answered', attempt);
    this.cancelOthers(attempt);
    const length = head.headers.get('content-length');
    this.sink.begin(
      head.status,
      keepAnswerHeaders(head.rawHeaders),
      length === undefined ? undefined : Number(length),
    );
    attempt.passOn().forEach((held) => this.sink.write(held));
  }

  private onEnd(attempt: CallAttempt, answer: WholeAnswer): void {
    const { status } = answer.head;
    const isGood = status < SERVER_ERROR_STATUS;
    const kind = isGood ? 'answered' : 'failed';
    this.context.directory.observe(attempt.target.id, { kind });
    this.guarded.recordHarmlessRun();
    this.context.observer.onBegun?.(this.admitted, attempt.target);
    this.tellSendEnd(attempt, isGood);
    if (this.streaming === attempt) {
      this.sink.end();
      this.finish('answered', attempt, status);
      return;
    }
    if (isGood || !this.admitted.route.repeatable) {
      this.deliver(answer, attempt);
      return;
    }
    this.report.failed(attempt, false, `status ${status}`);
    this.failure = answer;
    this.afterFailure();
  }

  private onFault(attempt: CallAttempt, notSent: boolean, reason: string): void {
    const kind = notSent ? 'lost' : 'failed';
    this.context.directory.observe(attempt.target.id, { kind });
    this.report.failed(attempt, notSent, reason);
    if (!notSent) {
      // A call that may have been sent was most likely begun: usage was 107 of 589 too low without.
      this.context.observer.onBegun?.(this.admitted, attempt.target);
      if (!this.guarded.isSuspected) {
        this.tellSendEnd(attempt, false);
      }
      this.guarded.recordBrokenRun(attempt.target.id, attempt.sentAtMs, this.context.clock.now());
    } else {
      this.guarded.recordInconclusiveRun();
    }
    if (this.streaming === attempt) {
      this.sink.abort(new LimeleadError('outcome-unknown', 'the answer broke off'));
      this.finish('broke-off', attempt);
      return;
    }
    if (notSent) {
      attempt.noteUnreached();
      this.ran -= 1;
      this.afterNotRun();
    } else {
      this.guarded.afterChecks(() => this.afterFailure());
    }
  }

  private tellSendEnd(attempt: CallAttempt, isGood: boolean): void {
    const { clock, observer } = this.context;
    const afterMs = clock.now() - attempt.sentAtMs;
    observer.onSendEnded?.(this.admitted, attempt.target, { isGood, afterMs });
  }

  private onTurnedAway(attempt: CallAttempt, isOtherTarget: boolean): void {
    const { id } = attempt.target;
    this.ran -= 1;
    this.turnedAway += 1;
    this.context.directory.observe(
      id,
      isOtherTarget ? { kind: 'replaced' } : { kind: 'full', pauseMs: FULL_PAUSE_MS },
    );
    this.report.turnedAway(attempt, isOtherTarget);
    this.guarded.recordInconclusiveRun();
    if (!isOtherTarget) {
      this.tried.delete(id);
    }
    this.afterNotRun();
  }

  private afterNotRun(): void {
    if (this.isDone || this.goOnAsRepeat() || this.hasLive()) {
      return;
    }
    if (this.turnedAway > MAX_TURNED_AWAY || !this.payments.tryPay()) {
      this.giveUp();
      return;
    }
    this.openAttempt();
  }

  private afterFailure(): void {
    if (this.isDone || this.goOnAsRepeat() || this.hasLive()) {
      return;
    }
    if (!this.tryAgain()) {
      this.giveUp();
    }
  }

  private tryAgain(isExtra = false): boolean {
    const { route } = this.admitted;
    if (!route.repeatable || this.ran >= route.maxTargets || !this.payments.tryPay()) {
      return false;
    }
    this.openAttempt(isExtra);
    return true;
  }

  /** A second send that still waits, and is paid for, is all that is left: it may take a permit now. */
  private goOnAsRepeat(): boolean {
    const isOnlyOne = this.isWaiting && this.isExtra && !this.isUnderWay;
    if (isOnlyOne) {
      this.stopWaiting();
      this.openAttempt();
    }
    return isOnlyOne;
  }

  private hasLive(): boolean {
    return this.isWaiting || this.isUnderWay;
  }

  private get isUnderWay(): boolean {
    return this.attempts.some(({ isOver }) => !isOver);
  }

  private deliver(answer: WholeAnswer, attempt?: CallAttempt): void {
    passWholeAnswer(this.sink, answer);
    this.finish('answered', attempt, answer.head.status);
  }

  /** Nothing better will come: the caller gets its final answer now. */
  private giveUp(): void {
    if (this.isDone) {
      return;
    }
    if (this.streaming !== undefined) {
      this.sink.abort(new LimeleadError('deadline-passed', 'the time for the answer is over'));
    } else if (this.failure !== undefined) {
      this.deliver(this.failure);
      return;
    } else {
      this.sink.refuse(this.describeRefusal());
    }
    this.finish('given-up');
  }

  private describeRefusal(): LimeleadError {
    if (this.isQuarantined) {
      return new LimeleadError('quarantined', QUARANTINED_MESSAGE, {
        execution: this.ran === 0 ? undefined : 'unknown',
        retryAfterMs: this.guarded.quarantineLeftMs,
      });
    }
    if (this.refusal !== undefined) {
      return new LimeleadError('overloaded', REFUSED_MESSAGE, {
        ...reportRefusal(this.context, this.admitted, this.refusal),
        execution: this.ran === 0 ? undefined : 'unknown',
      });
    }
    if (this.ran === 0) {
      return new LimeleadError('no-target', 'no target took the request');
    }
    return this.isOverdue
      ? new LimeleadError('deadline-passed', 'no answer came in time')
      : new LimeleadError('outcome-unknown', 'the answer of the target was lost');
  }

  private cancelOthers(kept?: CallAttempt): void {
    const others = this.attempts.filter((attempt) => attempt !== kept);
    others.forEach((attempt) => attempt.cancel());
  }

  /** A send without an answer in time is a bad one; one whose caller left tells nothing. */
  private tellUnanswered(outcome: CallEnd['outcome'], answered?: CallAttempt): void {
    const open = this.attempts.filter((attempt) => attempt !== answered && !attempt.isOver);
    if (this.isOverdue) {
      open.forEach((attempt) => this.tellSendEnd(attempt, false));
    } else if (outcome !== 'caller-left') {
      open.forEach((attempt) => this.tellAbandoned(attempt));
    }
  }

  private tellAbandoned({ target, sentAtMs }: CallAttempt): void {
    const { clock, observer } = this.context;
    observer.onSendAbandoned?.(this.admitted, target, clock.now() - sentAtMs);
  }

  private finish(outcome: CallEnd['outcome'], attempt?: CallAttempt, status?: number): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    this.stopWaiting();
    this.timers.forEach((cancel) => cancel());
    this.tellUnanswered(outcome, attempt);
    this.cancelOthers();
    this.guarded.close();
    this.report.finished({
      outcome,
      status,
      target: attempt?.target.id,
      attempts: this.attempts.length,
      ran: this.ran,
    });
    this.context.observer.onFinished?.(this.admitted);
  }
}
