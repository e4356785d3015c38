/**
 * Carries one streamed request. The session core decides: it fences attempts,
 * lets each piece pass once and chooses how a broken stream goes on. This module
 * carries out its commands on HTTP targets, where a piece takes a token's place.
 */
import { LimeleadError, type ErrorKind } from '@limelead/errors';
import advanceSession, {
  createSession,
  type SessionCommand,
  type SessionEvent,
  type SessionState,
} from '@limelead/generation-session';
import computeSilenceBound, {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import { chooseCopyKeeper } from '@limelead/choose-service-target';
import type { AnswerHead } from '@limelead/target-connections';
import type {
  AnswerBinding,
  EventDetail,
  GenerationRequest,
  RecoveryPolicy,
} from '@limelead/types';
import { keepEndToEnd, type AnswerSink } from './answer-sink.js';
import type { AdmittedRequest, ForwardContext } from './context.js';
import type { RunCopy } from './dialect.js';
import type { Place } from './place-queue.js';
import StreamAttempt, { type NumberedPiece, type TurnedAwayCause } from './stream-attempt.js';

/** How long a target that said it is full is left alone, in milliseconds. */
const FULL_PAUSE_MS = 60;
/** Sends that targets turned away, after which a request is given up. */
const MAX_TURNED_AWAY = 20;
const MIN_SILENCE_MS = 240;
/** Part of the pause that callers bear which detection may take. */
const SILENCE_SHARE_OF_PAUSE = 0.5;
const DEFAULT_PAUSE_MS = 800;
const SUSPICION_FACTOR = 6;
/** Time in which a run that goes on from a copy sends its first piece. */
const FIRST_PIECE_OF_COPY_MS = 500;
const SERVER_ERROR = 500;
/** The version is the targets' own business on this path; one name stands for it. */
const OPAQUE_BINDING: AnswerBinding = {
  modelVersion: { model: '', adapter: '', version: '' },
  seed: 0,
};

/** One attempt with what belongs to it. */
interface LiveAttempt {
  attempt: StreamAttempt;
  place: Place;
  /** Where the run's memory is copied to. */
  copy?: RunCopy;
  forgetCopy: () => void;
  unwatch: () => void;
}

/** Starts forwarding. The answer, whatever it is, goes to the sink. */
export default function forwardStream(
  context: ForwardContext,
  admitted: AdmittedRequest,
  sink: AnswerSink,
): void {
  new StreamForwarder(context, admitted, sink).begin();
}

class StreamForwarder {
  private state: SessionState;
  private readonly live = new Map<number, LiveAttempt>();
  private readonly chosen = new Map<number, Place>();
  /** The copy that the next attempt may go on from. */
  private copy: RunCopy | undefined;
  private head: AnswerHead | undefined;
  private hasBegun = false;
  private isDone = false;
  private sends = 0;
  private ran = 0;
  private turnedAway = 0;
  private trailer: Buffer = Buffer.alloc(0);
  private readonly cleanups: (() => void)[] = [];

  constructor(
    private readonly context: ForwardContext,
    private readonly admitted: AdmittedRequest,
    private readonly sink: AnswerSink,
  ) {
    const { requestId, lastPiece } = admitted.request;
    const session = createSession(toGeneration(admitted), requestId, context.clock.now());
    this.state = { ...session, delivered: lastPiece };
  }

  begin(): void {
    const { clock, timers } = this.context;
    const remainingMs = Math.max(0, this.admitted.dueAtMs - clock.now());
    this.cleanups.push(timers.after(remainingMs, () => this.advance({ kind: 'deadline-passed' })));
    this.sink.onGone(() => this.advance({ kind: 'cancelled' }));
    this.advance({ kind: 'begin', tries: 0, delivered: this.state.delivered });
  }

  private advance(event: SessionEvent): void {
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
      case 'wait-for-retry': {
        const { attempt } = command;
        const cancel = this.context.timers.after(command.delayMs, () =>
          this.advance({ kind: 'retry-due', attempt }),
        );
        this.cleanups.push(cancel);
        break;
      }
      case 'send':
        if (command.message.kind === 'tokens') {
          this.deliver(command.message.tokens);
        } else if (command.message.kind === 'finished') {
          this.finish('answered', () => this.endAnswer());
        }
        break;
      case 'fail':
        this.fail(command.error, command.message);
        break;
      case 'observe':
        this.observe(command.detail);
        break;
      case 'attach':
      case 'probe':
      case 'watch-silence':
      case 'cancel-foreign':
        // Targets of this kind can't be attached to; silence is watched for all runs together.
        break;
    }
  }

  private chooseTarget(attempt: number, exclude: string[]): void {
    const { service, request, rank, dueAtMs } = this.admitted;
    if (!this.maySendAgain()) {
      this.advance({ kind: 'no-target', attempt, error: 'overloaded' });
      return;
    }
    const keeper = this.takeKeeper();
    if (keeper !== undefined) {
      this.onPlace(attempt, keeper);
      return;
    }
    const stopWaiting = this.context.places.take(
      {
        service,
        affinityKey: request.affinityKey,
        exclude: new Set(exclude),
        rank,
        untilMs: dueAtMs,
      },
      (place) => this.onPlace(attempt, place),
    );
    this.cleanups.push(stopWaiting);
  }

  /** The target that holds a copy of the run, where there is one that takes work. */
  private takeKeeper(): Place | undefined {
    const { directory } = this.context;
    const tracked = this.copy && directory.get(this.copy.keeper.id);
    if (
      tracked === undefined ||
      tracked.target.leaving ||
      directory.isSuspected(tracked.target.id)
    ) {
      this.copy = undefined;
      return undefined;
    }
    return { tracked, release: directory.begin(tracked.target.id) };
  }

  private onPlace(attempt: number, place: Place | undefined): void {
    if (this.isDone) {
      place?.release();
      return;
    }
    if (place === undefined) {
      this.advance({ kind: 'no-target', attempt, error: 'no-target' });
      return;
    }
    this.chosen.set(attempt, place);
    const targetId = place.tracked.target.id;
    this.advance({ kind: 'target-chosen', attempt, targetId, binding: OPAQUE_BINDING });
  }

  private start(number: number, lastPiece: number): void {
    const place = this.chosen.get(number);
    this.chosen.delete(number);
    if (place === undefined) {
      return;
    }
    const { clock } = this.context;
    const { request, organisation, rank, dueAtMs } = this.admitted;
    const { target } = place.tracked;
    const continueFrom = this.copy?.keeper.id === target.id ? this.copy : undefined;
    const copyTo = this.chooseKeeper(place);
    this.copy = undefined;
    this.noteSend();
    const remainingMs = dueAtMs - clock.now();
    const attempt = new StreamAttempt(
      this.context,
      { request, target, organisation, remainingMs, lastPiece, copyTo, continueFrom, rank },
      {
        onOpened: (head) => this.onOpened(number, head),
        onPieces: (pieces) => this.onPieces(number, pieces),
        onEnded: (trailer) => this.onEnded(number, trailer),
        onBroken: (reason) => this.onBroken(number, reason),
        onTurnedAway: (cause, reason) => this.onTurnedAway(number, cause, reason),
        onAnswered: (head, body) => this.onAnswered(number, head, body),
      },
    );
    this.live.set(number, {
      attempt,
      place,
      copy: copyTo && { keeper: copyTo, runId: request.requestId },
      forgetCopy:
        copyTo === undefined ? () => undefined : this.context.directory.keepCopy(copyTo.id),
      unwatch: this.watch(number, attempt, continueFrom !== undefined),
    });
    this.context.log.write('stream-sent', {
      requestId: request.requestId,
      attempt: number,
      target: target.id,
      lastPiece,
      copyTo: copyTo?.id,
      continuesCopy: continueFrom !== undefined,
      remainingMs: Math.round(remainingMs),
    });
    attempt.send();
  }

  private chooseKeeper(place: Place): StreamAttempt['target'] | undefined {
    const { clock, directory } = this.context;
    const { service, request, route } = this.admitted;
    const engine = this.context.readTable()?.findService(service)?.engine;
    if (!route.repeatable || engine?.copiesRuns !== true) {
      return undefined;
    }
    return chooseCopyKeeper(directory.listUsable(service), {
      affinityKey: request.affinityKey,
      running: place.tracked,
      isDomainDoubtful: (domain) => directory.isDomainDoubtful(domain),
      now: clock.now(),
    })?.target;
  }

  private noteSend(): void {
    this.sends += 1;
    this.ran += 1;
    if (this.sends === 1) {
      this.context.retriesOf(this.admitted.service).noteFirstSend(this.context.clock.now());
    }
  }

  /** The first send is free; later ones are paid from the budget that all VMs share. */
  private maySendAgain(): boolean {
    if (this.sends === 0) {
      return true;
    }
    if (this.turnedAway > MAX_TURNED_AWAY) {
      return false;
    }
    const { clock, countVms } = this.context;
    return this.context.retriesOf(this.admitted.service).trySpend(clock.now(), countVms());
  }

  private watch(number: number, attempt: StreamAttempt, continuesCopy: boolean): () => void {
    const { clock, silence } = this.context;
    const now = clock.now();
    let gaps: GapEstimate = INITIAL_GAP_ESTIMATE;
    let hasSentPieces = false;
    const policy = this.policy;
    const run = {
      requestId: this.admitted.request.requestId,
      target: attempt.target,
      startedAtMs: now,
      heardAtMs: now,
      isSending: continuesCopy,
      missedInProbes: 0,
      boundMs: () => (hasSentPieces ? computeSilenceBound(gaps, policy) : FIRST_PIECE_OF_COPY_MS),
      onSilent: () => this.onSilent(number),
    };
    this.hearers.set(number, () => {
      const heardAtMs = clock.now();
      if (hasSentPieces) {
        gaps = updateGapEstimate(gaps, heardAtMs - run.heardAtMs);
      }
      hasSentPieces = true;
      run.isSending = true;
      run.heardAtMs = heardAtMs;
    });
    return silence.watch(run);
  }

  private readonly hearers = new Map<number, () => void>();

  private get policy(): RecoveryPolicy {
    return this.state.request.priority.recovery;
  }

  private onOpened(attempt: number, head: AnswerHead): void {
    if (this.live.has(attempt)) {
      this.head ??= head;
      this.advance({ kind: 'opened', attempt, promptTokens: 0 });
    }
  }

  private onPieces(attempt: number, pieces: NumberedPiece[]): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.context.directory.hear(live.attempt.target.id);
    this.hearers.get(attempt)?.();
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
    this.trailer = trailer;
    this.context.directory.observe(live.attempt.target.id, { kind: 'answered' });
    this.release(attempt);
    this.advance({ kind: 'ended', attempt, length: this.state.delivered, reason: 'stop' });
  }

  private onBroken(attempt: number, reason: string): void {
    this.lose(attempt, reason, 'failed');
    this.advance({ kind: 'broken', attempt, cause: 'target-gone' });
  }

  private onSilent(attempt: number): void {
    this.lose(attempt, 'silent', 'lost');
    this.advance({ kind: 'silent', attempt });
  }

  /** The target of an attempt is lost or broke off; its copy is the next attempt's start. */
  private lose(attempt: number, reason: string, kind: 'failed' | 'lost'): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { clock, directory, log, silence } = this.context;
    this.copy = live.copy;
    // A connection that ends with a run on it is a sign of a lost target, as silence is.
    directory.observe(live.attempt.target.id, { kind: 'lost' });
    log.write('stream-broken', {
      requestId: this.admitted.request.requestId,
      attempt,
      target: live.attempt.target.id,
      kind,
      reason,
      delivered: this.state.delivered,
      sinceLastPieceMs: Math.round(clock.now() - this.state.lastDeliveredAtMs),
      copyAt: live.copy?.keeper.id,
    });
    this.release(attempt);
    if (kind === 'lost') {
      live.attempt.cancel();
    }
    silence.noteLost(live.attempt.target.id);
  }

  private onTurnedAway(attempt: number, cause: TurnedAwayCause, reason: string): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    const { directory, log } = this.context;
    const { target } = live.attempt;
    this.ran -= 1;
    this.turnedAway += 1;
    directory.observe(
      target.id,
      cause === 'full' ? { kind: 'full', pauseMs: FULL_PAUSE_MS } : { kind: 'lost' },
    );
    log.write('stream-turned-away', {
      requestId: this.admitted.request.requestId,
      attempt,
      target: target.id,
      cause,
      reason,
    });
    this.release(attempt);
    this.advance({ kind: 'broken', attempt, cause: 'refused' });
  }

  /** A finished answer that is no stream: a failure is tried elsewhere while that is allowed. */
  private onAnswered(attempt: number, head: AnswerHead, body: Buffer): void {
    const live = this.live.get(attempt);
    if (live === undefined) {
      return;
    }
    this.context.directory.observe(live.attempt.target.id, { kind: 'failed' });
    this.release(attempt);
    const { route } = this.admitted;
    const mayGoOn = route.repeatable && this.ran < route.maxTargets;
    if ((head.status >= SERVER_ERROR && mayGoOn) || this.hasBegun) {
      this.advance({ kind: 'broken', attempt, cause: 'refused' });
      return;
    }
    this.finish('answered', () => {
      this.sink.begin(
        head.status,
        keepEndToEnd(head.rawHeaders, new Set(['content-length'])),
        body.length,
      );
      this.sink.write(body);
      this.sink.end();
    });
  }

  private deliver(pieces: string[]): void {
    if (!this.hasBegun) {
      this.hasBegun = true;
      const { head } = this;
      const headers = keepEndToEnd(head?.rawHeaders ?? [], new Set(['content-length']));
      this.sink.begin(head?.status ?? SERVER_ERROR, headers);
      this.context.metrics.recordMs(
        'limelead_first_piece_ms',
        this.context.clock.now() - this.admitted.receivedAtMs,
      );
    }
    pieces.forEach((piece) => this.sink.write(Buffer.from(piece, 'latin1')));
  }

  private endAnswer(): void {
    if (!this.hasBegun) {
      this.deliver([]);
    }
    if (this.trailer.length > 0) {
      this.sink.write(this.trailer);
    }
    this.sink.end();
  }

  private fail(kind: ErrorKind, message: string): void {
    const overrides = this.ran > 0 ? ({ execution: 'unknown' } as const) : undefined;
    const error = new LimeleadError(kind, message, overrides);
    this.finish(kind, () => {
      if (this.hasBegun) {
        this.sink.abort(error);
      } else {
        this.sink.refuse(error);
      }
    });
  }

  private drop(attempt: number): void {
    const live = this.live.get(attempt);
    if (live !== undefined) {
      live.attempt.cancel();
      this.release(attempt);
    }
    this.chosen.get(attempt)?.release();
    this.chosen.delete(attempt);
  }

  private release(attempt: number): void {
    const live = this.live.get(attempt);
    if (live !== undefined) {
      this.live.delete(attempt);
      this.hearers.delete(attempt);
      live.unwatch();
      live.forgetCopy();
      live.place.release();
    }
  }

  private observe(detail: EventDetail): void {
    const { log, metrics } = this.context;
    const { requestId } = this.admitted.request;
    if (detail.kind === 'streamContinued') {
      const { target, attempt, resumeLatencyMs } = detail;
      metrics.recordMs('limelead_resume_ms', resumeLatencyMs);
      log.write('stream-continued', {
        requestId,
        target,
        attempt,
        resumeLatencyMs: Math.round(resumeLatencyMs),
      });
    } else if (detail.kind === 'recoveryPlanned') {
      log.write('recovery-planned', { requestId, way: detail.way, reason: detail.reason });
    }
  }

  private finish(outcome: string, tell: () => void): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    this.cleanups.forEach((cleanup) => cleanup());
    [...this.live.keys()].forEach((attempt) => this.drop(attempt));
    tell();
    const { clock, log, metrics } = this.context;
    const durationMs = Math.round(clock.now() - this.admitted.receivedAtMs);
    log.write('stream-finished', {
      requestId: this.admitted.request.requestId,
      outcome,
      delivered: this.state.delivered,
      sends: this.sends,
      durationMs,
    });
    metrics.count('limelead_streams_total', 1, { outcome });
    metrics.recordMs('limelead_stream_ms', durationMs);
  }
}

function toGeneration({
  request,
  route,
  organisation,
  service,
  rank,
}: AdmittedRequest): GenerationRequest {
  const pauseMs = route.maxPauseMs ?? DEFAULT_PAUSE_MS;
  const maxSilenceMs = pauseMs * SILENCE_SHARE_OF_PAUSE;
  return {
    requestId: request.requestId,
    organisation: organisation ?? '',
    service,
    prompt: '',
    maxTokens: Number.MAX_SAFE_INTEGER,
    priority: {
      name: route.name,
      rank,
      deadlineMs: route.timeoutMs,
      recovery: {
        suspicionFactor: SUSPICION_FACTOR,
        minSilenceMs: Math.min(MIN_SILENCE_MS, maxSilenceMs),
        maxSilenceMs,
        hedge: false,
        probeFirst: false,
      },
      maxQueueMs: route.timeoutMs,
    },
    paceTokensPerSecond: 0,
    resumable: route.repeatable,
  };
}
