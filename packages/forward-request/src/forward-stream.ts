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
import type { AnswerMessage, PlaceOutcome } from '@limelead/types';
import type { AnswerSink } from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import guardAdmittedRequest from './guard-admitted-request.js';
import { MIN_SERVER_ERROR_STATUS } from './limits.js';
import type { RunEnd } from './assess-run-end.js';
import LiveAttempts, {
  findReplica,
  isRelayed,
  toLeavingRun,
  type LiveAttempt,
} from './live-attempts.js';
import type { Slot } from './slot-request.js';
import PacedSink from './paced-sink.js';
import reportAdmitted from './report-admitted.js';
import RunReplicas from './run-replicas.js';
import SlotSearch, { type SlotSearchEvents } from './slot-search.js';
import type { NumberedPiece, StreamAttemptEvents, RejectionCause } from './stream-attempt.js';
import StreamAnswer from './stream-answer.js';
import StreamRelocation from './stream-relocation.js';
import StreamReport from './stream-report.js';
import StreamAttemptTracker from './stream-attempt-tracker.js';
import {
  describeLostRun,
  observeBrokenTarget,
  recordFirstPiece,
  toObservation,
} from './stream-observation.js';
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
  /** Slots of attempts that have not started. */
  private readonly chosenSlots = new Map<number, Slot>();
  private readonly replicas: RunReplicas;
  private readonly answer: StreamAnswer;
  private readonly version: StreamVersion;
  private readonly refusals: StreamRefusals;
  private isDone = false;
  private readonly attempts: StreamAttemptTracker;
  private readonly cleanups: (() => void)[] = [];
  /** Search for the slot of the next attempt. */
  private search: SlotSearch | undefined;
  private readonly relocation: StreamRelocation;
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
    this.guarded = guardAdmittedRequest(context, admitted, () =>
      this.fail(this.refusals.quarantined(this.guarded.quarantineLeftMs)),
    );
    this.live = new LiveAttempts(context, admitted, this.replicas, {
      createEvents: (number) => this.createEvents(number),
      onSending: (number, attemptRequest) => this.report.sent(number, attemptRequest),
      onSilent: (number, cause) => this.relocation.onSilent(number, cause),
      startRun: (target) => this.guarded.startRun(target),
    });
    const { attempts, live, refusals, replicas, report } = this;
    const parts = { context, admitted, attempts, live, refusals, replicas, report };
    this.relocation = new StreamRelocation(parts, {
      readState: () => this.state,
      createSearch: (...search) => this.createSearch(...search),
      setNextSlot: (slot) => this.chosenSlots.set(this.state.lastAttempt + 1, slot),
      advance: (event) => this.advance(event),
      lose: (attempt, reason) => this.lose(attempt, 'silent', reason),
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
    this.sink.onShutdown(() => this.fail(this.refusals.shuttingDown()));
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
      this.answer.write(message.tokens);
      this.report.pieceDelivered();
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
    const chosen = this.chosenSlots.get(attempt);
    if (chosen !== undefined) {
      return this.onSlot(attempt, chosen);
    }
    this.search = this.createSearch(exclude, {
      onSlot: (slot) => this.onSlot(attempt, slot),
      onNoTarget: () => this.advance({ kind: 'no-target', attempt, error: 'no-target' }),
      onRefused: (error) => this.fail(error),
    });
    this.search.begin();
  }

  /** @param replaces target whose silent run the slot is to replace */
  private createSearch(exclude: string[], events: SlotSearchEvents, replaces?: string): SlotSearch {
    const { admitted, attempts, context, guarded, refusals, replicas, version } = this;
    const { delivered, lastDeliveredAtMs } = this.state;
    return new SlotSearch(
      { admitted, attempts, context, guarded, refusals, replicas, version },
      { delivered, lastDeliveredAtMs, exclude, replaces },
      events,
    );
  }

  private onSlot(attempt: number, slot: Slot): void {
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
      this.relocation.onAccepted(attempt);
      this.answer.setHead(head);
      this.advance({ kind: 'opened', attempt, promptTokens: 0 });
    }
  }

  private onPieces(attempt: number, pieces: NumberedPiece[]): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.relocation.onPieces(attempt);
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
    if (live === undefined || this.relocation.onStreamClosed(attempt, true)) {
      return;
    }
    this.answer.setTrailer(trailer);
    this.context.directory.observe(live.attempt.target.id, { kind: 'answered' });
    live.run?.recordAnswer(true);
    this.report.attemptEnded(live, true);
    this.release(attempt, 'answered');
    this.advance({ kind: 'ended', attempt, length: this.state.delivered, reason: 'stop' });
  }

  private onBroken(attempt: number, reason: string): void {
    const live = this.live.get(attempt);
    if (live === undefined || this.relocation.onStreamClosed(attempt, false)) {
      return;
    }
    const { isSuspected } = this.guarded;
    this.replicas.onRunLost(findReplica(live));
    this.lose(attempt, 'broken', reason);
    const canGoOn = this.admitted.route.repeatable;
    const goOn = (): void => this.advance({ kind: 'broken', attempt, cause: 'target-gone' });
    void this.awaitEnd(live, canGoOn).then((end) => {
      if (end === 'lost') {
        observeBrokenTarget(this.context, live, isSuspected);
      } else {
        this.context.directory.observe(live.attempt.target.id, { kind: 'failed' });
      }
      if (canGoOn) {
        goOn();
      }
    });
    if (!canGoOn) {
      goOn();
    }
  }

  /** Waits until a run whose connection broke has ended, or asks once if nothing depends on it. */
  private awaitEnd(live: LiveAttempt, isNeeded: boolean): Promise<RunEnd> {
    const { clock, prefill, runStopper } = this.context;
    const run = toLeavingRun(this.admitted, live, true);
    const latestStartMs = this.admitted.dueAtMs - prefill.minMs(this.admitted);
    return runStopper.awaitEnd(run, isNeeded ? latestStartMs : clock.now());
  }

  /** Ends an attempt whose target broke off or is silent; the next one resumes from its replica. */
  private lose(attempt: number, cause: LossCause, reason: string): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { id } = live.attempt.target;
    this.attempts.recordLoss(id, cause);
    this.replicas.avoid(id);
    this.report.lost({
      ...{ attempt, cause, reason },
      ...describeLostRun(live, this.state, this.context.clock.now()),
    });
    live.attempt.cancel();
    const isLikelyCrash = cause === 'broken' && this.guarded.isSuspected && !isRelayed(live);
    if (!isLikelyCrash) {
      this.report.attemptEnded(live, false);
    }
    if (cause === 'broken') {
      live.run?.recordBroken();
    }
    this.release(attempt);
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
    this.release(attempt, 'rejected');
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
    const isBesideSilentRun = this.relocation.isBeside(attempt);
    this.release(attempt);
    // A VM that relays has retried already.
    const canRetry =
      this.admitted.route.repeatable && !isRelayed(live) && !this.attempts.hasReachedMaxTargets;
    const isRetried = head.status >= MIN_SERVER_ERROR_STATUS && canRetry;
    if (isBesideSilentRun || isRetried || this.answer.hasBegun) {
      this.advance({ kind: 'broken', attempt, cause: 'refused' });
      return;
    }
    this.finish('answered', () => this.answer.replace({ head, body }));
  }

  private fail(error: LimeleadError): void {
    this.finish(error.kind, () => this.answer.fail(error));
  }

  private release(attempt: number, outcome?: PlaceOutcome): void {
    this.live.release(attempt, outcome);
    this.relocation.onReleased(attempt);
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
    this.search?.cancel();
    this.relocation.cancel();
    this.chosenSlots.forEach((slot) => slot.release());
    this.live.dropAll();
    this.attempts.close();
    this.guarded.close();
    notify();
    this.context.observer.onFinished?.(this.admitted);
    this.report.finished(outcome, this.state.delivered, this.attempts.count);
  }
}
