/** Runs one generation: passes events to its session and executes the resulting commands. */
import { estimateCost, type RoutingCriteria } from '@limelead/choose-target';
import { LimeleadError, type ErrorKind } from '@limelead/errors';
import advanceSession, {
  createSession,
  type SessionCommand,
  type SessionEvent,
  type SessionState,
} from '@limelead/generation-session';
import type { TrackedTarget } from '@limelead/track-targets';
import type { AnswerMessage, CancelTimer, GenerationRequest } from '@limelead/types';
import AttemptReader, { type AttemptContext } from './attempt-reader.js';
import cancelWithRetries from './cancel-with-retries.js';
import type { GenerationDependencies, GenerationStart } from './dependencies.js';
import EventQueue from './event-queue.js';
import recordObservation from './record-observation.js';

const CHARACTERS_PER_TOKEN = 4;
const MAX_SEED = 2 ** 32;
/** Longest time that a recovery holds its slot. */
const MAX_RECOVERY_SLOT_MS = 1_000;
/** Time without a message after which a keep-alive is sent to the caller. */
const KEEP_ALIVE_INTERVAL_MS = 500;

/** Event of the session, or a due keep-alive. */
type GenerationEvent = SessionEvent | { kind: 'keep-alive' };

type CommandOf<Kind extends SessionCommand['kind']> = Extract<SessionCommand, { kind: Kind }>;

/** Runs one generation on this VM. */
export default class Generation {
  private readonly events = new EventQueue<GenerationEvent>();
  private readonly readers = new Map<number, AttemptReader>();
  /** Release functions of the slots of recoveries that have not delivered yet, by attempt. */
  private readonly recoverySlotReleases = new Map<number, () => void>();
  private readonly prefixHashes: string[];
  private readonly delivered: string[];
  private readonly startedAtMs: number;
  private state: SessionState;
  private cancelDeadline: CancelTimer = () => undefined;
  private cancelKeepAlive: CancelTimer = () => undefined;
  private lastSentMs: number;
  private failure: LimeleadError | undefined;
  private isAbandoned = false;

  constructor(
    private readonly dependencies: GenerationDependencies,
    private readonly request: GenerationRequest,
    start: GenerationStart,
  ) {
    const { clock, connector, incarnation } = dependencies;
    this.startedAtMs = clock.now();
    this.lastSentMs = this.startedAtMs;
    this.delivered = [...start.delivered];
    this.prefixHashes = connector.hashPrompt(request.prompt);
    const prefix = `${request.organisation}.${request.requestId}.${incarnation}`;
    this.state = createSession(request, prefix, this.startedAtMs);
    const { resume, tries } = start;
    this.events.enqueue({ kind: 'begin', resume, tries, delivered: this.delivered.length });
  }

  /** Cancels the generation on behalf of the caller. */
  cancel(): void {
    this.events.enqueue({ kind: 'cancelled' });
  }

  /** Asks a resumable caller to resume through another VM, because this VM is draining. */
  drain(): void {
    this.events.enqueue({ kind: 'drain' });
  }

  /**
   * Stops reading after the connection to the caller is lost. The generation of a resumable
   * caller runs on for a grace period, in which the caller may resume through another VM.
   */
  abandon(): void {
    if (this.state.phase === 'done' || this.isAbandoned) {
      return;
    }
    this.isAbandoned = true;
    const { timers, abandonedGraceMs } = this.dependencies;
    const graceMs = this.request.resumable ? abandonedGraceMs : 0;
    const readers = [...this.readers.values()];
    readers.forEach((reader) => reader.close());
    timers.after(graceMs, () =>
      readers.forEach((reader) => this.cancelGenerationAt(reader.context)),
    );
    this.events.enqueue({ kind: 'cancelled' });
  }

  /** Yields the messages of the answer. Throws a LimeleadError if the generation fails. */
  async *messages(): AsyncGenerator<AnswerMessage> {
    this.startDeadlineTimer();
    this.scheduleKeepAlive();
    try {
      while (this.state.phase !== 'done') {
        yield* this.advance(await this.events.dequeue());
      }
    } finally {
      this.cancelDeadline();
      this.cancelKeepAlive();
      this.releaseRecoverySlots();
      this.abandon();
    }
    if (this.failure !== undefined) {
      throw this.failure;
    }
  }

  private *advance(event: GenerationEvent): Generator<AnswerMessage> {
    if (event.kind === 'keep-alive') {
      this.lastSentMs = this.dependencies.clock.now();
      yield event;
      return;
    }
    const { state, commands } = advanceSession(this.state, event, this.dependencies.clock.now());
    this.state = state;
    for (const command of commands) {
      if (command.kind === 'send') {
        this.recordSent(command.message);
        yield command.message;
      } else {
        this.execute(command);
      }
    }
  }

  private execute(command: Exclude<SessionCommand, { kind: 'send' }>): void {
    switch (command.kind) {
      case 'choose-target':
        return this.chooseTarget(command);
      case 'start':
        return this.start(command);
      case 'attach':
        return this.attach(command);
      case 'probe':
        return void this.probe(command.attempt);
      case 'watch-silence':
        return this.readers.get(command.attempt)?.restartSilenceTimer();
      case 'cancel-attempt':
        return this.cancelAttempt(command.attempt);
      case 'detach-attempt':
        return this.readers.get(command.attempt)?.close();
      case 'cancel-foreign':
        return this.cancelForeign(command);
      case 'wait-for-retry':
        return this.waitForRetry(command);
      case 'fail':
        return this.recordFailure(command.error, command.message);
      case 'observe':
        return recordObservation(this.dependencies, this.request.requestId, command.detail);
    }
  }

  /** Chooses a target at once for the first attempt; recoveries wait for a slot. */
  private chooseTarget(command: CommandOf<'choose-target'>): void {
    if (command.attempt === 1) {
      this.chooseTargetNow(command);
    } else {
      void this.chooseTargetWithSlot(command);
    }
  }

  private async chooseTargetWithSlot(command: CommandOf<'choose-target'>): Promise<void> {
    const { pacer, timers } = this.dependencies;
    const { attempt } = command;
    const release = await pacer.acquire(this.request.priority.rank);
    this.recoverySlotReleases.get(attempt)?.();
    this.recoverySlotReleases.set(attempt, release);
    // A recovery that neither delivers nor breaks must not hold its slot indefinitely.
    timers.after(MAX_RECOVERY_SLOT_MS, release);
    if (this.state.phase === 'done') {
      release();
    } else {
      this.chooseTargetNow(command);
    }
  }

  private chooseTargetNow(command: CommandOf<'choose-target'>): void {
    const { targets, random, clock, currentVersion } = this.dependencies;
    const { attempt } = command;
    const version = command.modelVersion ?? currentVersion(this.request.service);
    const now = clock.now();
    const usable = version === undefined ? [] : targets.listUsableEngines(now, version);
    const routing = this.createRoutingCriteria(command.exclude);
    const choice = this.dependencies.chooseTarget(usable, routing, random);
    if (version === undefined || choice === undefined) {
      const isLive = version !== undefined && targets.hasVersion(version, now);
      const error: ErrorKind = isLive ? 'no-target' : 'version-not-live';
      this.recoverySlotReleases.get(attempt)?.();
      this.events.enqueue({ kind: 'no-target', attempt, error });
      return;
    }
    const { target, considered } = choice;
    const reason = 'lowest expected time to the next token';
    recordObservation(this.dependencies, this.request.requestId, {
      kind: 'targetChosen',
      target: target.id,
      attempt,
      reason,
      considered,
    });
    const binding = { modelVersion: version, seed: this.drawSeed() };
    this.events.enqueue({ kind: 'target-chosen', attempt, targetId: target.id, binding });
  }

  private createRoutingCriteria(exclude: string[]): RoutingCriteria {
    const promptTokens = Math.ceil(this.request.prompt.length / CHARACTERS_PER_TOKEN);
    return {
      prefixHashes: this.prefixHashes,
      inputTokens: promptTokens + this.delivered.length,
      failureDomain: this.dependencies.failureDomain,
      exclude,
      meanAnswerTokens: this.dependencies.gaps.readMeanAnswerTokens(),
      now: this.dependencies.clock.now(),
    };
  }

  private start(command: CommandOf<'start'>): void {
    const { attempt, targetId, generationId, binding, prefixLength } = command;
    const target = this.dependencies.targets.find(targetId);
    if (target === undefined) {
      this.events.enqueue({ kind: 'broken', attempt, cause: 'target-gone' });
      return;
    }
    const reader = this.createReader(attempt, target, generationId, true);
    const { prompt, maxTokens, priority, paceTokensPerSecond } = this.request;
    void reader.run((signal) =>
      reader.context.engine.start(
        {
          generationId,
          attempt,
          modelVersion: binding.modelVersion,
          prompt,
          forcedPrefix: this.delivered.slice(0, prefixLength),
          seed: binding.seed,
          maxTokens,
          rank: priority.rank,
          paceTokensPerSecond,
        },
        signal,
      ),
    );
  }

  private attach(command: CommandOf<'attach'>): void {
    const { attempt, targetId, generationId, fromOffset } = command;
    const target = this.dependencies.targets.find(targetId);
    if (target === undefined) {
      this.events.enqueue({ kind: 'broken', attempt, cause: 'target-gone' });
      return;
    }
    const reader = this.createReader(attempt, target, generationId, false);
    void reader.run((signal) =>
      reader.context.engine.attach({ generationId, attempt, fromOffset }, signal),
    );
  }

  private createReader(
    number: number,
    target: TrackedTarget,
    generationId: string,
    needsPrefill: boolean,
  ): AttemptReader {
    const { connector } = this.dependencies;
    const { priority, paceTokensPerSecond } = this.request;
    const routing = this.createRoutingCriteria([]);
    const { costMs, cachedShare } = estimateCost(target, routing);
    const context: AttemptContext = {
      number,
      targetId: target.id,
      generationId,
      engine: connector.engine(target.host, target.port),
      policy: priority.recovery,
      expectedFirstTokenMs: needsPrefill ? costMs : 0,
      inputTokens: needsPrefill ? routing.inputTokens * (1 - cachedShare) : 0,
      paceGapMs: paceTokensPerSecond > 0 ? 1000 / paceTokensPerSecond : 0,
      prefixHashes: this.prefixHashes,
    };
    const reader = new AttemptReader(context, this.dependencies, this.events);
    this.readers.set(number, reader);
    return reader;
  }

  private async probe(attempt: number): Promise<void> {
    const context = this.readers.get(attempt)?.context;
    const answer = await context?.engine.probe(context.generationId)();
    const running = answer?._tag === 'Right' && answer.right;
    this.events.enqueue({ kind: 'probed', attempt, running });
  }

  private cancelAttempt(attempt: number): void {
    const reader = this.readers.get(attempt);
    if (reader === undefined || this.isAbandoned) {
      return;
    }
    reader.close();
    this.readers.delete(attempt);
    this.recoverySlotReleases.get(attempt)?.();
    this.cancelGenerationAt(reader.context);
  }

  private releaseRecoverySlots(): void {
    this.recoverySlotReleases.forEach((release) => release());
    this.recoverySlotReleases.clear();
  }

  private cancelGenerationAt(context: AttemptContext): void {
    void cancelWithRetries(this.dependencies, context.engine, context.generationId, context.number);
  }

  private cancelForeign(command: CommandOf<'cancel-foreign'>): void {
    const target = this.dependencies.targets.find(command.targetId);
    if (target !== undefined && !this.isAbandoned) {
      const engine = this.dependencies.connector.engine(target.host, target.port);
      void cancelWithRetries(this.dependencies, engine, command.generationId, command.attempt);
    }
  }

  private waitForRetry(command: CommandOf<'wait-for-retry'>): void {
    const { timers, random } = this.dependencies;
    // Jitter between half and all of the delay prevents synchronised retries of broken streams.
    const delayMs = command.delayMs * (0.5 + random.next() / 2);
    timers.after(delayMs, () =>
      this.events.enqueue({ kind: 'retry-due', attempt: command.attempt }),
    );
  }

  private startDeadlineTimer(): void {
    const { deadlineAtMs } = this.request;
    if (deadlineAtMs !== undefined) {
      const { timers, clock } = this.dependencies;
      const leftMs = Math.max(0, deadlineAtMs - clock.now());
      this.cancelDeadline = timers.after(leftMs, () =>
        this.events.enqueue({ kind: 'deadline-passed' }),
      );
    }
  }

  /** Sends keep-alives from one timer that checks the time of the last message. */
  private scheduleKeepAlive(): void {
    const { timers, clock } = this.dependencies;
    const dueInMs = this.lastSentMs + KEEP_ALIVE_INTERVAL_MS - clock.now();
    this.cancelKeepAlive = timers.after(Math.max(dueInMs, KEEP_ALIVE_INTERVAL_MS / 2), () => {
      if (clock.now() - this.lastSentMs >= KEEP_ALIVE_INTERVAL_MS) {
        this.events.enqueue({ kind: 'keep-alive' });
      }
      this.scheduleKeepAlive();
    });
  }

  private recordSent(message: AnswerMessage): void {
    this.lastSentMs = this.dependencies.clock.now();
    if (message.kind === 'finished') {
      this.dependencies.gaps.recordAnswerTokens(message.length);
    }
    if (message.kind !== 'tokens') {
      return;
    }
    this.releaseRecoverySlots();
    const { metrics, clock } = this.dependencies;
    if (this.delivered.length === 0) {
      metrics.recordMs('limelead_first_token_ms', clock.now() - this.startedAtMs);
    }
    metrics.count('limelead_tokens_delivered_total', message.tokens.length);
    this.delivered.push(...message.tokens);
  }

  private recordFailure(error: ErrorKind, message: string): void {
    this.failure = new LimeleadError(error, message);
  }

  private drawSeed(): number {
    return Math.floor(this.dependencies.random.next() * MAX_SEED);
  }
}
