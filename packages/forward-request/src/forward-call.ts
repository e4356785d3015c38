/**
 * Carries one call to a plain service. A call that may run once is sent to
 * another target only where the first one certainly did not run it. One that
 * may be repeated is sent again after a failure and, when its target is slow,
 * a second time beside the first; the first good answer is taken.
 */
import { LimeleadError } from '@limelead/errors';
import type { AnswerHead, OpenCall } from '@limelead/target-connections';
import type { CancelTimer } from '@limelead/types';
import { keepAnswerHeaders, type AnswerSink } from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import { MAX_TURNED_AWAY, SERVER_ERROR_STATUS } from './limits.js';
import type { Place } from './place-queue.js';
import SendPayments, { type NoteUnreached } from './send-payments.js';

/** Rest of a connection that a call may use, in milliseconds. */
const REPEATABLE_MAX_IDLE_MS = 10_000;
/** A call that may run once takes a fresh connection, which no target closes meanwhile. */
const ONCE_MAX_IDLE_MS = 0;
/** Longest answer that is held back until it is whole. */
const MAX_HELD_BYTES = 256 * 1024;
/** Part of the objective after which a repeatable call is sent a second time. */
const HEDGE_SHARE = 0.5;
/** How long a target that said it is full is left alone, in milliseconds. */
const FULL_PAUSE_MS = 25;

/** An answer that is whole. */
interface WholeAnswer {
  head: AnswerHead;
  body: Buffer;
}

/** One send to one target. */
interface Attempt {
  number: number;
  place: Place;
  noteUnreached: NoteUnreached;
  open?: OpenCall;
  head?: AnswerHead;
  chunks: Buffer[];
  heldBytes: number;
  isOver: boolean;
}

/** Starts forwarding. The answer, whatever it is, goes to the sink. */
export default function forwardCall(
  context: ForwardContext,
  admitted: AdmittedRequest,
  sink: AnswerSink,
): void {
  new CallForwarder(context, admitted, sink).begin();
}

class CallForwarder {
  private readonly attempts: Attempt[] = [];
  private readonly tried = new Set<string>();
  /** Sends that a target may have run. */
  private ran = 0;
  private turnedAway = 0;
  private isDone = false;
  private isOverdue = false;
  private streaming: Attempt | undefined;
  /** A failure that the service itself answered; given to the caller where nothing better comes. */
  private failure: WholeAnswer | undefined;
  private stopWaiting: () => void = () => undefined;
  private isWaiting = false;
  private readonly timers: CancelTimer[] = [];
  private readonly payments: SendPayments;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly sink: AnswerSink,
  ) {
    this.payments = new SendPayments(context, admitted.service);
  }

  begin(): void {
    const { clock, timers } = this.context;
    const remainingMs = this.admitted.dueAtMs - clock.now();
    this.timers.push(timers.after(Math.max(0, remainingMs), () => this.onOverdue()));
    this.sink.onGone(() => this.finish('caller-left'));
    this.openAttempt();
  }

  private onOverdue(): void {
    this.isOverdue = true;
    this.giveUp();
  }

  private openAttempt(): void {
    const { service, request, rank, dueAtMs } = this.admitted;
    this.isWaiting = true;
    this.stopWaiting = this.context.places.take(
      { service, affinityKey: request.requestId, exclude: this.tried, rank, untilMs: dueAtMs },
      (place) => this.onPlace(place),
    );
  }

  private onPlace(place: Place | undefined): void {
    this.isWaiting = false;
    if (this.isDone) {
      place?.release();
      return;
    }
    if (place === undefined) {
      this.giveUp();
      return;
    }
    this.send(place);
  }

  private send(place: Place): void {
    const { clock, connections, dialect, log, timers } = this.context;
    const { request, organisation, rank, route, dueAtMs } = this.admitted;
    const { target } = place.tracked;
    const attempt: Attempt = {
      number: this.attempts.length + 1,
      place,
      noteUnreached: this.payments.noteSent(),
      chunks: [],
      heldBytes: 0,
      isOver: false,
    };
    this.attempts.push(attempt);
    this.tried.add(target.id);
    const remainingMs = dueAtMs - clock.now();
    log.write('call-sent', {
      requestId: request.requestId,
      target: target.id,
      attempt: attempt.number,
      remainingMs: Math.round(remainingMs),
    });
    const call = dialect.composeCall({
      request,
      target,
      organisation,
      remainingMs,
      lastPiece: 0,
      rank,
    });
    const maxIdleMs = route.repeatable ? REPEATABLE_MAX_IDLE_MS : ONCE_MAX_IDLE_MS;
    this.ran += 1;
    attempt.open = connections.send(
      target,
      call,
      { maxIdleMs },
      {
        onHead: (head) => this.onHead(attempt, head),
        onData: (chunk) => this.onData(attempt, chunk),
        onEnd: () => this.onEnd(attempt),
        onFault: (fault) => this.onFault(attempt, fault.sent === 'no', fault.message),
      },
    );
    if (route.repeatable && attempt.number === 1) {
      const hedgeMs = route.objectiveMs * HEDGE_SHARE;
      this.timers.push(timers.after(hedgeMs, () => this.hedge()));
    }
  }

  private hedge(): void {
    const isUnderWay = this.attempts.some(({ isOver }) => !isOver);
    if (!this.isDone && !this.isWaiting && isUnderWay && this.streaming === undefined) {
      this.tryAgain();
    }
  }

  private onHead(attempt: Attempt, head: AnswerHead): void {
    const facts = this.context.dialect.readAnswer(this.admitted.request, head);
    if (!facts.isForRequest) {
      attempt.open?.cancel();
      this.onFault(attempt, false, 'answer of another request');
      return;
    }
    attempt.head = head;
    if (facts.notRun) {
      attempt.open?.cancel();
      this.onTurnedAway(attempt, facts.isOtherTarget);
    }
  }

  private onData(attempt: Attempt, chunk: Buffer): void {
    if (this.isDone || attempt.isOver || attempt.head === undefined) {
      return;
    }
    if (this.streaming === attempt) {
      this.sink.write(chunk);
      return;
    }
    attempt.chunks.push(chunk);
    attempt.heldBytes += chunk.length;
    if (attempt.heldBytes > MAX_HELD_BYTES) {
      this.beginStreaming(attempt, attempt.head);
    }
  }

  /** A long answer is passed on as it comes; from here on no other can take its place. */
  private beginStreaming(attempt: Attempt, head: AnswerHead): void {
    this.streaming = attempt;
    this.cancelOthers(attempt);
    const length = head.headers.get('content-length');
    this.sink.begin(
      head.status,
      keepAnswerHeaders(head.rawHeaders),
      length === undefined ? undefined : Number(length),
    );
    attempt.chunks.forEach((held) => this.sink.write(held));
    attempt.chunks = [];
  }

  private onEnd(attempt: Attempt): void {
    if (!this.close(attempt) || attempt.head === undefined) {
      return;
    }
    const { head } = attempt;
    const isGood = head.status < SERVER_ERROR_STATUS;
    this.context.directory.observe(attempt.place.tracked.target.id, {
      kind: isGood ? 'answered' : 'failed',
    });
    if (this.streaming === attempt) {
      this.sink.end();
      this.finish('answered', attempt, head.status);
      return;
    }
    const answer = { head, body: Buffer.concat(attempt.chunks) };
    if (isGood || !this.admitted.route.repeatable) {
      this.deliver(answer, attempt);
      return;
    }
    this.failure = answer;
    this.afterFailure();
  }

  private onFault(attempt: Attempt, notSent: boolean, reason: string): void {
    if (!this.close(attempt)) {
      return;
    }
    const { target } = attempt.place.tracked;
    this.context.directory.observe(target.id, { kind: notSent ? 'lost' : 'failed' });
    this.context.log.write('call-failed', {
      requestId: this.admitted.request.requestId,
      target: target.id,
      attempt: attempt.number,
      notSent,
      reason,
    });
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
      this.afterFailure();
    }
  }

  private onTurnedAway(attempt: Attempt, isOtherTarget: boolean): void {
    if (!this.close(attempt)) {
      return;
    }
    const { target } = attempt.place.tracked;
    this.ran -= 1;
    this.turnedAway += 1;
    this.context.directory.observe(
      target.id,
      isOtherTarget ? { kind: 'lost' } : { kind: 'full', pauseMs: FULL_PAUSE_MS },
    );
    this.context.log.write('call-turned-away', {
      requestId: this.admitted.request.requestId,
      target: target.id,
      isOtherTarget,
    });
    if (!isOtherTarget) {
      this.tried.delete(target.id);
    }
    this.afterNotRun();
  }

  private afterNotRun(): void {
    if (this.isDone || this.hasLive()) {
      return;
    }
    if (this.turnedAway > MAX_TURNED_AWAY || !this.payments.tryPay()) {
      this.giveUp();
      return;
    }
    this.openAttempt();
  }

  private afterFailure(): void {
    if (this.isDone || this.hasLive()) {
      return;
    }
    if (!this.tryAgain()) {
      this.giveUp();
    }
  }

  private tryAgain(): boolean {
    const { route } = this.admitted;
    if (!route.repeatable || this.ran >= route.maxTargets || !this.payments.tryPay()) {
      return false;
    }
    this.openAttempt();
    return true;
  }

  private hasLive(): boolean {
    return this.isWaiting || this.attempts.some(({ isOver }) => !isOver);
  }

  /** Takes an attempt as over; false where it already was. */
  private close(attempt: Attempt): boolean {
    if (attempt.isOver || this.isDone) {
      return false;
    }
    attempt.isOver = true;
    attempt.place.release();
    return true;
  }

  private deliver(answer: WholeAnswer, attempt?: Attempt): void {
    const headers = keepAnswerHeaders(answer.head.rawHeaders);
    this.sink.begin(answer.head.status, headers, answer.body.length);
    if (answer.body.length > 0) {
      this.sink.write(answer.body);
    }
    this.sink.end();
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
    if (this.ran === 0) {
      return new LimeleadError('no-target', 'no target took the request');
    }
    return this.isOverdue
      ? new LimeleadError('deadline-passed', 'no answer came in time')
      : new LimeleadError('outcome-unknown', 'the answer of the target was lost');
  }

  private cancelOthers(kept?: Attempt): void {
    for (const attempt of this.attempts) {
      if (attempt !== kept && !attempt.isOver) {
        attempt.isOver = true;
        attempt.open?.cancel();
        attempt.place.release();
      }
    }
  }

  private finish(outcome: string, attempt?: Attempt, status?: number): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    this.stopWaiting();
    this.timers.forEach((cancel) => cancel());
    this.cancelOthers();
    const { clock, log, metrics } = this.context;
    const durationMs = Math.round(clock.now() - this.admitted.receivedAtMs);
    log.write('call-finished', {
      requestId: this.admitted.request.requestId,
      outcome,
      status,
      target: attempt?.place.tracked.target.id,
      attempts: this.attempts.length,
      ran: this.ran,
      durationMs,
    });
    metrics.count('limelead_calls_total', 1, { outcome });
    metrics.recordMs('limelead_call_ms', durationMs);
  }
}
