/**
 * Carries one streamed request. The session core decides: it fences attempts,
 * lets each piece pass once and chooses how a broken stream goes on. This module
 * carries out its commands on HTTP targets, where a piece stands for a token.
 */
import type { LimeleadError } from '@limelead/errors';
import advanceSession, {
  createSession,
  type SessionCommand,
  type SessionEvent,
  type SessionState,
} from '@limelead/generation-session';
import type { GuardedRequest } from '@limelead/quarantine-requests';
import type { AnswerHead } from '@limelead/target-connections';
import type { LossCause, TargetObservation } from '@limelead/track-service-targets';
import type { AnswerMessage, RecoveryPolicy } from '@limelead/types';
import type { AnswerSink } from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import findStreamSlot from './find-stream-slot.js';
import { describeIdentity } from './identify-admitted.js';
import { QUARANTINED_MESSAGE, SERVER_ERROR_STATUS } from './limits.js';
import LiveAttempts, { type LiveAttempt } from './live-attempts.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import reportRefusal, { REFUSED_MESSAGE } from './report-refusal.js';
import RunCopies from './run-copies.js';
import type { NumberedPiece, StreamAttemptEvents, TurnedAwayCause } from './stream-attempt.js';
import StreamAnswer from './stream-answer.js';
import StreamReport from './stream-report.js';
import StreamSends from './stream-sends.js';
import toGeneration, { OPAQUE_BINDING } from './to-generation.js';

/**
 * Longest wait before another look for a way on. What is waited for are repeats
 * of the retry budget, which peers lend within some milliseconds.
 */
const LONGEST_RETRY_WAIT_MS = 150;
/** How long a target that said it is full is left alone, in milliseconds. */
const FULL_PAUSE_MS = 60;

/** Starts forwarding. The answer, whatever it is, goes to the sink. */
export default function forwardStream(
  context: ForwardContext,
  admitted: AdmittedRequest,
  sink: AnswerSink,
): void {
  new StreamForwarder(context, admitted, sink).begin();
}

/** What a target's refusal says of it. */
function observeTurnedAway(cause: TurnedAwayCause): TargetObservation {
  switch (cause) {
    case 'full':
      return { kind: 'full', pauseMs: FULL_PAUSE_MS };
    case 'other-target':
      return { kind: 'replaced' };
    case 'unreachable':
      return { kind: 'lost' };
  }
}

/** Requests at the target of a send, this one aside. */
function countOthers({ slot }: LiveAttempt): number {
  const { inFlight, peerRequests } = slot.tracked;
  return Math.max(0, inFlight + peerRequests - 1);
}

class StreamForwarder {
  private state: SessionState;
  private readonly live: LiveAttempts;
  private readonly chosen = new Map<number, Slot>();
  private readonly copies: RunCopies;
  private readonly answer: StreamAnswer;
  private isDone = false;
  private readonly sends: StreamSends;
  private readonly cleanups: (() => void)[] = [];
  private readonly report: StreamReport;
  private readonly guarded: GuardedRequest;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly sink: AnswerSink,
  ) {
    this.answer = new StreamAnswer(sink);
    this.report = new StreamReport(context, admitted);
    this.copies = new RunCopies(context, admitted);
    this.sends = new StreamSends(context, admitted);
    this.guarded = context.guard.guardRequest({
      request: describeIdentity(admitted),
      route: admitted.route.name,
      requestId: admitted.request.requestId,
      service: admitted.service,
      onQuarantined: () => this.fail(this.createQuarantined()),
    });
    this.live = new LiveAttempts(context, admitted, this.copies, {
      createEvents: (number) => this.createEvents(number),
      onSending: (number, order) => this.report.sent(number, order),
      onSilent: (number) => this.onSilent(number),
    });
    const { requestId, lastPiece } = admitted.request;
    const session = createSession(toGeneration(admitted), requestId, context.clock.now());
    this.state = { ...session, delivered: lastPiece };
  }

  begin(): void {
    const { clock, timers, observer } = this.context;
    observer.onAdmitted?.(this.admitted);
    const remainingMs = Math.max(0, this.admitted.dueAtMs - clock.now());
    this.cleanups.push(timers.after(remainingMs, () => this.advance({ kind: 'deadline-passed' })));
    this.sink.onGone(() => this.advance({ kind: 'cancelled' }));
    this.advance({ kind: 'begin', tries: 0, delivered: this.state.delivered });
  }

  private advance(event: SessionEvent): void {
    if (this.isDone) {
      return;
    }
    const step = advanceSession(this.state, event, this.context.clock.now());
    this.state = step.state;
    step.commands.forEach((command) => this.carryOut(command));
  }

  private carryOut(command: SessionCommand): void {
    switch (command.kind) {
      case 'choose-target':
        this.chooseTarget(command.attempt, command.exclude);
        break;
      case 'start':
        this.start(command.attempt, command.prefixLength);
        break;
      case 'cancel-attempt':
      case 'detach-attempt':
        this.drop(command.attempt);
        break;
      case 'wait-for-retry':
        this.retryLater(command.attempt, command.delayMs);
        break;
      case 'send':
        this.send(command.message);
        break;
      case 'fail':
        this.fail(this.sends.createError(command.error, command.message));
        break;
      case 'observe':
        this.report.observed(command.detail);
        break;
      case 'attach':
        this.leaveUnattached(command.attempt);
        break;
      default:
        // Silence is watched for all runs together.
        break;
    }
  }

  private send(message: AnswerMessage): void {
    if (message.kind === 'tokens') {
      this.deliver(message.tokens);
    } else if (message.kind === 'finished') {
      this.finish('answered', () => this.answer.end());
    }
  }

  /** Targets of this kind can't be attached to: what was to be read again is left. */
  private leaveUnattached(attempt: number): void {
    this.live.dropAll();
    this.advance({ kind: 'broken', attempt, cause: 'target-gone' });
  }

  private retryLater(attempt: number, delayMs: number): void {
    const cancel = this.context.timers.after(Math.min(delayMs, LONGEST_RETRY_WAIT_MS), () =>
      this.advance({ kind: 'retry-due', attempt }),
    );
    this.cleanups.push(cancel);
  }

  private chooseTarget(attempt: number, exclude: string[]): void {
    const end = this.sends.findEnd();
    if (end !== undefined) {
      this.fail(end);
      return;
    }
    const stopAsking = this.guarded.requestAdmission((admission) => {
      if (admission === 'refuse') {
        this.fail(this.createQuarantined());
      } else {
        this.findSlot(attempt, exclude, admission === 'go-alone');
      }
    });
    this.cleanups.push(stopAsking);
  }

  private findSlot(attempt: number, exclude: string[], avoidsOthers: boolean): void {
    if (!this.sends.tryPay()) {
      this.guarded.recordInconclusiveRun();
      this.advance({ kind: 'no-target', attempt, error: 'overloaded' });
      return;
    }
    const stopWaiting = findStreamSlot(this.context, this.admitted, this.copies, {
      isFirstSend: this.sends.count === 0,
      avoidsOthers,
      exclude,
      receive: (slot, refusal) => this.onSlot(attempt, slot, refusal),
      refuse: () => this.refuseLate(),
    });
    this.cleanups.push(stopWaiting);
  }

  private createQuarantined(): LimeleadError {
    return this.sends.createError('quarantined', QUARANTINED_MESSAGE, {
      retryAfterMs: this.guarded.quarantineLeftMs,
    });
  }

  private refuseLate(): void {
    const message = 'the prompt could not be read before the deadline';
    this.fail(this.sends.createError('deadline-unreachable', message));
  }

  private onSlot(attempt: number, slot: Slot | undefined, refusal?: SlotRefusal): void {
    if (this.isDone) {
      slot?.release();
      return;
    }
    if (refusal !== undefined) {
      this.guarded.recordInconclusiveRun();
      const overrides = reportRefusal(this.context, this.admitted, refusal);
      this.fail(this.sends.createError('overloaded', REFUSED_MESSAGE, overrides));
      return;
    }
    if (slot === undefined) {
      this.guarded.recordInconclusiveRun();
      this.advance({ kind: 'no-target', attempt, error: 'no-target' });
      return;
    }
    this.chosen.set(attempt, slot);
    const targetId = slot.tracked.target.id;
    this.advance({ kind: 'target-chosen', attempt, targetId, binding: OPAQUE_BINDING });
  }

  private start(number: number, lastPiece: number): void {
    const slot = this.chosen.get(number);
    this.chosen.delete(number);
    if (slot === undefined) {
      return;
    }
    this.sends.noteSent(slot.tracked.target.id);
    const { policy } = this;
    this.live.start(number, { slot, lastPiece, policy });
  }

  /** How much is paid to go on sooner. */
  private get policy(): RecoveryPolicy {
    return this.state.request.priority.recovery;
  }

  private createEvents(number: number): StreamAttemptEvents {
    return {
      onOpened: (head) => this.onOpened(number, head),
      onPieces: (pieces) => this.onPieces(number, pieces),
      onEnded: (trailer) => this.onEnded(number, trailer),
      onBroken: (reason) => this.onBroken(number, reason),
      onTurnedAway: (cause, reason) => this.onTurnedAway(number, cause, reason),
      onAnswered: (head, body) => this.onAnswered(number, head, body),
    };
  }

  private onOpened(attempt: number, head: AnswerHead): void {
    if (this.live.get(attempt) !== undefined) {
      this.answer.noteHead(head);
      this.advance({ kind: 'opened', attempt, promptTokens: 0 });
    }
  }

  private onPieces(attempt: number, pieces: NumberedPiece[]): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.context.directory.recordActivity(live.attempt.target.id);
    live.endReading();
    this.noteFirstPiece(live);
    live.hearing.hear();
    live.pace.notePieces(pieces.length, this.context.clock.now());
    for (const { number, bytes } of pieces) {
      this.advance({
        kind: 'tokens',
        attempt,
        offset: number - 1,
        tokens: [bytes.toString('latin1')],
      });
    }
  }

  /** The time to the first piece of a run that read its whole prompt tells how fast targets read. */
  private noteFirstPiece(live: LiveAttempt): void {
    if (live.firstPieceAfterMs !== undefined) {
      return;
    }
    const { clock, reading, observer } = this.context;
    const { isSending, startedAtMs } = live.hearing;
    live.firstPieceAfterMs = clock.now() - startedAtMs;
    this.guarded.recordHarmlessRun();
    if (!isSending) {
      reading.note(this.admitted, live.firstPieceAfterMs);
    }
    observer.onBegun?.(this.admitted, live.attempt.target);
  }

  private tellSendEnd({ attempt, hearing, firstPieceAfterMs }: LiveAttempt, isGood: boolean): void {
    const { clock, observer } = this.context;
    const afterMs = firstPieceAfterMs ?? clock.now() - hearing.startedAtMs;
    observer.onSendEnded?.(this.admitted, attempt.target, { isGood, afterMs });
  }

  private onEnded(attempt: number, trailer: Buffer): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.answer.noteTrailer(trailer);
    this.context.directory.observe(live.attempt.target.id, { kind: 'answered' });
    this.guarded.recordHarmlessRun();
    this.tellSendEnd(live, true);
    this.live.release(attempt);
    this.advance({ kind: 'ended', attempt, length: this.state.delivered, reason: 'stop' });
  }

  private onBroken(attempt: number, reason: string): void {
    this.lose(attempt, 'broken', reason);
    this.advance({ kind: 'broken', attempt, cause: 'target-gone' });
  }

  private onSilent(attempt: number): void {
    this.lose(attempt, 'silent', 'nothing came');
    this.advance({ kind: 'silent', attempt });
  }

  /** The target of an attempt is lost or broke off; its copy is the next attempt's start. */
  private lose(attempt: number, cause: LossCause, reason: string): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { clock, directory, silence } = this.context;
    const target = live.attempt.target.id;
    this.sends.noteLost(target, cause);
    // Engines send copies only of runs that have begun to write.
    this.copies.noteLost(live.hearing.isSending ? live.copy : undefined);
    this.report.lost({
      attempt,
      target,
      cause,
      reason,
      delivered: this.state.delivered,
      sinceLastPieceMs: clock.now() - this.state.lastDeliveredAtMs,
      runMs: clock.now() - live.hearing.startedAtMs,
      wrote: live.firstPieceAfterMs !== undefined,
      beside: countOthers(live),
      copyAt: live.copy?.keeper.id,
    });
    live.attempt.cancel();
    const isOwnDoing = cause === 'broken' && this.guarded.isSuspected;
    if (!isOwnDoing) {
      this.tellSendEnd(live, false);
    }
    this.live.release(attempt);
    // A connection that ends with a run on it is a sign of a lost target, as silence is. What ends
    // under a suspect is its doing: that incarnation is over, and its failure domain not in doubt.
    directory.observe(target, { kind: isOwnDoing ? 'replaced' : 'lost' });
    silence.noteLost(target);
    this.noteEvidence(live, cause);
  }

  /** Only a connection that ends before the run wrote anything says something of the request. */
  private noteEvidence({ attempt, hearing }: LiveAttempt, cause: LossCause): void {
    if (cause === 'broken') {
      const { startedAtMs } = hearing;
      this.guarded.recordBrokenRun(attempt.target.id, startedAtMs, this.context.clock.now());
    } else {
      this.guarded.recordInconclusiveRun();
    }
  }

  private onTurnedAway(attempt: number, cause: TurnedAwayCause, reason: string): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { directory } = this.context;
    const { target } = live.attempt;
    this.sends.noteTurnedAway(target.id, cause);
    this.guarded.recordInconclusiveRun();
    directory.observe(target.id, observeTurnedAway(cause));
    this.report.turnedAway(attempt, target.id, cause, reason);
    this.live.release(attempt);
    this.advance({ kind: 'broken', attempt, cause: 'refused' });
  }

  /** A finished answer that is no stream: a failure is tried elsewhere while that is allowed. */
  private onAnswered(attempt: number, head: AnswerHead, body: Buffer): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.context.directory.observe(live.attempt.target.id, { kind: 'failed' });
    this.guarded.recordHarmlessRun();
    this.tellSendEnd(live, false);
    this.live.release(attempt);
    const mayGoOn = this.admitted.route.repeatable && !this.sends.hasUsedItsTargets;
    if ((head.status >= SERVER_ERROR_STATUS && mayGoOn) || this.answer.hasBegun) {
      this.advance({ kind: 'broken', attempt, cause: 'refused' });
      return;
    }
    this.finish('answered', () => this.answer.replace({ head, body }));
  }

  private deliver(pieces: string[]): void {
    this.answer.write(pieces);
    this.report.delivered();
  }

  private fail(error: LimeleadError): void {
    this.finish(error.kind, () => this.answer.fail(error));
  }

  private drop(attempt: number): void {
    this.live.drop(attempt);
    this.chosen.get(attempt)?.release();
    this.chosen.delete(attempt);
  }

  private finish(outcome: string, tell: () => void): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    this.cleanups.forEach((cleanup) => cleanup());
    this.live.dropAll();
    this.guarded.close();
    tell();
    this.context.observer.onFinished?.(this.admitted);
    this.report.finished(outcome, this.state.delivered, this.sends.count);
  }
}
