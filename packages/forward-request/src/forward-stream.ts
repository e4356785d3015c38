/**
 * Forwards one streamed request. The session core fences attempts, delivers each piece
 * once and decides how to resume a broken stream. This module executes its commands on
 * HTTP targets; one piece counts as one token.
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
import type { LossCause } from '@limelead/track-service-targets';
import type { AnswerMessage } from '@limelead/types';
import type { AnswerSink } from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import findStreamSlot from './find-stream-slot.js';
import { selectIdentityFields } from './identify-admitted-request.js';
import { MIN_SERVER_ERROR_STATUS } from './limits.js';
import LiveAttempts, { isRelayed } from './live-attempts.js';
import { SILENCE_REASONS, type GiveUpCause } from './monitored-run.js';
import type { Slot } from './slot-request.js';
import type { SlotRefusal } from './slot-refusal.js';
import PacedSink from './paced-sink.js';
import reportAdmitted from './report-admitted.js';
import RunReplicas from './run-replicas.js';
import type { NumberedPiece, StreamAttemptEvents, RejectionCause } from './stream-attempt.js';
import StreamAnswer from './stream-answer.js';
import StreamReport from './stream-report.js';
import StreamAttemptTracker from './stream-attempt-tracker.js';
import { describeLostRun, recordFirstPiece, toObservation } from './stream-observation.js';
import StreamRefusals from './stream-refusals.js';
import StreamVersion from './stream-version.js';
import toGenerationRequest, { PLACEHOLDER_BINDING } from './to-generation-request.js';

/** Longest wait before targets are tried again after none was available. */
const MAX_RETRY_DELAY_MS = 150;

/** Starts to forward a stream. The sink receives the answer or an error. */
export default function forwardStream(
  context: ForwardContext,
  admitted: AdmittedRequest,
  sink: AnswerSink,
): void {
  new StreamForwarder(context, admitted, new PacedSink(context, admitted, sink)).begin();
}

class StreamForwarder {
  private state: SessionState;
  private readonly live: LiveAttempts;
  private readonly chosenSlots = new Map<number, Slot>();
  private readonly replicas: RunReplicas;
  private readonly answer: StreamAnswer;
  private readonly version: StreamVersion;
  private readonly refusals: StreamRefusals;
  private isDone = false;
  private readonly attempts: StreamAttemptTracker;
  private readonly cleanups: (() => void)[] = [];
  private readonly report: StreamReport;
  private readonly guarded: GuardedRequest;

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly sink: PacedSink,
  ) {
    this.answer = new StreamAnswer(sink);
    this.report = new StreamReport(context, admitted);
    this.replicas = new RunReplicas(context, admitted);
    this.attempts = new StreamAttemptTracker(context, admitted);
    this.refusals = new StreamRefusals(context, admitted, this.attempts);
    this.version = new StreamVersion(context, admitted);
    this.guarded = context.guard.guardRequest({
      request: selectIdentityFields(admitted),
      route: admitted.route.name,
      requestId: admitted.request.requestId,
      onQuarantined: () => this.failQuarantined(),
    });
    this.live = new LiveAttempts(context, admitted, this.replicas, {
      createEvents: (number) => this.createEvents(number),
      onSending: (number, attemptRequest) => this.report.sent(number, attemptRequest),
      onSilent: (number, cause) => this.onSilent(number, cause),
      startRun: (target) => this.guarded.startRun(target),
      canMove: () => this.attempts.canMove(),
    });
    sink.readFrom(this.live);
    const { requestId, lastPiece } = admitted.request;
    const session = createSession(toGenerationRequest(admitted), requestId, context.clock.now());
    this.state = { ...session, delivered: lastPiece };
  }

  begin(): void {
    const { clock, timers } = this.context;
    reportAdmitted(this.context, this.admitted);
    if (this.admitted.request.lastPiece > 0) {
      this.report.resumeRequested();
    }
    const remainingMs = Math.max(0, this.admitted.dueAtMs - clock.now());
    this.cleanups.push(timers.after(remainingMs, () => this.advance({ kind: 'deadline-passed' })));
    this.sink.onCallerLeft(() => this.advance({ kind: 'cancelled' }));
    this.advance({ kind: 'begin', tries: 0, delivered: this.state.delivered });
  }

  private advance(event: SessionEvent): void {
    if (this.isDone) {
      return;
    }
    const step = advanceSession(this.state, event, this.context.clock.now());
    this.state = step.state;
    step.commands.forEach((command) => this.execute(command));
  }

  private execute(command: SessionCommand): void {
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
        this.fail(this.attempts.createError(command.error, command.message));
        break;
      case 'observe':
        this.report.observed(command.detail);
        break;
      case 'attach':
        this.failAttach(command.attempt);
        break;
      default:
        // No action is needed for the other commands; the silence monitor watches all runs.
        break;
    }
  }

  private send(message: AnswerMessage): void {
    if (message.kind === 'tokens') {
      this.deliver(message.tokens);
    } else if (message.kind === 'finished') {
      this.version.onWhole();
      this.finish('answered', () => this.answer.end());
    }
  }

  /** HTTP targets do not support attaching to a run, so the attempt counts as broken. */
  private failAttach(attempt: number): void {
    this.live.dropAll();
    this.advance({ kind: 'broken', attempt, cause: 'target-gone' });
  }

  private retryLater(attempt: number, delayMs: number): void {
    const cancel = this.context.timers.after(Math.min(delayMs, MAX_RETRY_DELAY_MS), () =>
      this.advance({ kind: 'retry-due', attempt }),
    );
    this.cleanups.push(cancel);
  }

  private chooseTarget(attempt: number, exclude: string[]): void {
    const end = this.attempts.findFinalError() ?? this.findDeadEnd();
    if (end !== undefined) {
      this.fail(end);
      return;
    }
    const { delivered, lastDeliveredAtMs } = this.state;
    if (this.version.isToBeFound(delivered)) {
      this.findVersion(attempt, exclude);
      return;
    }
    const progress = { delivered, lastDeliveredAtMs, hasReplica: this.replicas.hasUsable };
    const stopWaiting = this.attempts.requestRetry(progress, (refusal) =>
      refusal === undefined ? this.requestAdmission(attempt, exclude) : this.fail(refusal),
    );
    this.cleanups.push(stopWaiting);
  }

  /** Error of a stream that no target in reach of this VM can go on with. */
  private findDeadEnd(): LimeleadError | undefined {
    if (this.context.relay.mustDecline(this.admitted)) {
      return this.refusals.outOfReach();
    }
    return this.version.isGone ? this.refusals.versionGone() : undefined;
  }

  private findVersion(attempt: number, exclude: string[]): void {
    const stopSearch = this.version.find((isKnown) => {
      if (isKnown) {
        this.chooseTarget(attempt, exclude);
      } else {
        this.fail(this.refusals.originUnknown());
      }
    });
    this.cleanups.push(stopSearch);
  }

  private requestAdmission(attempt: number, exclude: string[]): void {
    const relaySlot = this.context.relay.acquire(this.admitted, new Set(exclude));
    if (relaySlot !== undefined) {
      this.onSlot(attempt, relaySlot);
      return;
    }
    const stopAsking = this.guarded.requestAdmission((admission) => {
      if (admission === 'refuse') {
        this.failQuarantined();
      } else {
        this.findSlot(attempt, exclude, admission === 'send-trial');
      }
    });
    this.cleanups.push(stopAsking);
  }

  private findSlot(attempt: number, exclude: string[], onlyLeastLoaded: boolean): void {
    const stopWaiting = findStreamSlot(this.context, this.admitted, this.replicas, {
      isFirstAttempt: this.attempts.count === 0,
      hasWritten: this.state.delivered > 0,
      softwareVersion: this.version.current,
      onlyLeastLoaded,
      exclude,
      onSlot: (slot, refusal) => this.onSlot(attempt, slot, refusal),
      onTooLate: () => this.fail(this.refusals.tooLate()),
    });
    this.cleanups.push(stopWaiting);
  }

  private failQuarantined(): void {
    this.fail(this.refusals.quarantined(this.guarded.quarantineLeftMs));
  }

  private onSlot(attempt: number, slot: Slot | undefined, refusal?: SlotRefusal): void {
    if (this.isDone) {
      slot?.release();
      return;
    }
    if (refusal !== undefined) {
      this.guarded.onNoTarget();
      this.fail(this.refusals.withoutSlot(refusal));
      return;
    }
    if (slot === undefined) {
      this.guarded.onNoTarget();
      this.advance({ kind: 'no-target', attempt, error: 'no-target' });
      return;
    }
    this.chosenSlots.set(attempt, slot);
    const targetId = slot.tracked.target.id;
    this.advance({ kind: 'target-chosen', attempt, targetId, binding: PLACEHOLDER_BINDING });
  }

  private start(number: number, lastPiece: number): void {
    const slot = this.chosenSlots.get(number);
    this.chosenSlots.delete(number);
    if (slot === undefined) {
      return;
    }
    const { id, isHelper } = slot.tracked.target;
    this.attempts.recordAttempt(id, isHelper);
    const { recovery } = this.state.request.priority;
    this.live.start(number, { slot, lastPiece, policy: recovery });
  }

  private createEvents(number: number): StreamAttemptEvents {
    return {
      onOpened: (head) => this.onOpened(number, head),
      onPieces: (pieces) => this.onPieces(number, pieces),
      onEnded: (trailer) => this.onEnded(number, trailer),
      onBroken: (reason) => this.onBroken(number, reason),
      onRejected: (cause, reason) => this.onRejected(number, cause, reason),
      onOtherAnswer: (head, body) => this.onOtherAnswer(number, head, body),
      onBuffered: (bytes) => this.sink.addHeldBytes(bytes),
    };
  }

  private onOpened(attempt: number, head: AnswerHead): void {
    if (this.live.get(attempt) !== undefined) {
      this.answer.setHead(head);
      this.advance({ kind: 'opened', attempt, promptTokens: 0 });
    }
  }

  private onPieces(attempt: number, pieces: NumberedPiece[]): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.context.directory.recordActivity(live.attempt.target.id);
    live.endPrefill();
    recordFirstPiece(this.context, this.admitted, live);
    live.run?.recordOutput();
    this.version.onPiece(live.attempt.target);
    live.activity.recordActivity();
    live.paceMeter.recordPieces(pieces.length, this.context.clock.now());
    for (const { number, bytes } of pieces) {
      this.advance({
        kind: 'tokens',
        attempt,
        offset: number - 1,
        tokens: [bytes.toString('latin1')],
      });
    }
  }

  private onEnded(attempt: number, trailer: Buffer): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.answer.setTrailer(trailer);
    this.context.directory.observe(live.attempt.target.id, { kind: 'answered' });
    live.run?.recordAnswer(true);
    this.report.attemptEnded(live, true);
    this.live.release(attempt, 'answered');
    this.advance({ kind: 'ended', attempt, length: this.state.delivered, reason: 'stop' });
  }

  private onBroken(attempt: number, reason: string): void {
    this.lose(attempt, 'broken', reason);
    this.advance({ kind: 'broken', attempt, cause: 'target-gone' });
  }

  private onSilent(attempt: number, cause: GiveUpCause): void {
    this.lose(attempt, 'silent', SILENCE_REASONS[cause], cause === 'target-lost');
    this.advance({ kind: 'silent', attempt });
  }

  /** Handles an attempt whose target broke off or is silent; the next one resumes from its replica. */
  private lose(attempt: number, cause: LossCause, reason: string, isTargetLost = true): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { clock, directory, silence } = this.context;
    const target = live.attempt.target.id;
    this.attempts.recordLoss(target, cause);
    // Engines replicate only runs that have started to write.
    this.replicas.onRunLost(live.activity.isWriting ? live.replica : undefined);
    this.report.lost({
      ...{ attempt, cause, reason },
      ...describeLostRun(live, this.state, clock.now()),
    });
    live.attempt.cancel();
    const isLikelyCrash = cause === 'broken' && this.guarded.isSuspected && !isRelayed(live);
    if (!isLikelyCrash) {
      this.report.attemptEnded(live, false);
    }
    if (cause === 'broken') {
      live.run?.recordBroken();
    }
    this.live.release(attempt);
    // If the request is suspected of crashes, only this incarnation of the target is over, and its
    // failure domain is not in doubt. Otherwise a broken connection counts as a lost target.
    if (isTargetLost && !(isRelayed(live) && cause === 'broken')) {
      directory.observe(target, { kind: isLikelyCrash ? 'replaced' : 'lost' });
      silence.onTargetLost(target);
    }
  }

  private onRejected(attempt: number, cause: RejectionCause, reason: string): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { directory } = this.context;
    const { target } = live.attempt;
    this.attempts.recordRejection(target.id, cause, target.isHelper);
    live.run?.recordNotRun();
    directory.observe(target.id, toObservation(cause));
    this.report.rejected(attempt, target.id, cause, reason);
    this.live.release(attempt, 'rejected');
    this.advance({ kind: 'broken', attempt, cause: 'refused' });
  }

  /** Handles a complete answer that is not a stream. A server error is retried if allowed. */
  private onOtherAnswer(attempt: number, head: AnswerHead, body: Buffer): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.context.directory.observe(live.attempt.target.id, { kind: 'failed' });
    live.run?.recordAnswer(head.status < MIN_SERVER_ERROR_STATUS);
    this.report.attemptEnded(live, false);
    this.live.release(attempt);
    // A VM that relays has retried already.
    const canRetry =
      this.admitted.route.repeatable && !isRelayed(live) && !this.attempts.hasReachedMaxTargets;
    if ((head.status >= MIN_SERVER_ERROR_STATUS && canRetry) || this.answer.hasBegun) {
      this.advance({ kind: 'broken', attempt, cause: 'refused' });
      return;
    }
    this.finish('answered', () => this.answer.replace({ head, body }));
  }

  private deliver(pieces: string[]): void {
    this.answer.write(pieces);
    this.report.pieceDelivered();
  }

  private fail(error: LimeleadError): void {
    this.finish(error.kind, () => this.answer.fail(error));
  }

  private drop(attempt: number): void {
    this.live.drop(attempt);
    this.chosenSlots.get(attempt)?.release();
    this.chosenSlots.delete(attempt);
  }

  private finish(outcome: string, notify: () => void): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    this.cleanups.forEach((cleanup) => cleanup());
    this.live.dropAll();
    this.attempts.close();
    this.guarded.close();
    notify();
    this.context.observer.onFinished?.(this.admitted);
    this.report.finished(outcome, this.state.delivered, this.attempts.count);
  }
}
