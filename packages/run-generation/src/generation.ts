/** Runs one generation: passes events to its session and executes the resulting commands. */
import { LimeleadError } from '@limelead/errors';
import advanceSession, {
  createSession,
  type SessionCommand,
  type SessionEvent,
  type SessionState,
  type Step,
} from '@limelead/generation-session';
import type { AnswerMessage, GenerationRequest } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import AnswerTimers from './answer-timers.js';
import Attempts from './attempts.js';
import type { GenerationDependencies, GenerationStart } from './dependencies.js';
import EventQueue from './event-queue.js';
import type { GenerationEvent } from './generation-event.js';
import recordObservation from './record-observation.js';
import RecoverySlots, { type ReleaseSlot } from './recovery-slots.js';
import SuccessorSearch, {
  type HeldSilence,
  type SilenceEvent,
  type Successor,
} from './successor-search.js';
import TargetSelector, { type SelectedTarget } from './target-selector.js';

type CommandOf<Kind extends SessionCommand['kind']> = Extract<SessionCommand, { kind: Kind }>;

/** Runs one generation on this VM. */
export default class Generation {
  private readonly events = new EventQueue<GenerationEvent>();
  private readonly delivered: string[];
  private readonly startedAtMs: number;
  private readonly selector: TargetSelector;
  private readonly attempts: Attempts;
  private readonly slots: RecoverySlots;
  private readonly successors: SuccessorSearch;
  private readonly timers: AnswerTimers;
  private state: SessionState;
  private failure: LimeleadError | undefined;
  private isAbandoned = false;

  constructor(
    private readonly dependencies: GenerationDependencies,
    private readonly request: GenerationRequest,
    start: GenerationStart,
  ) {
    const { clock, incarnation } = dependencies;
    this.startedAtMs = clock.now();
    this.delivered = [...start.delivered];
    this.selector = new TargetSelector(dependencies, request, this.delivered);
    const { selector, delivered, events } = this;
    this.attempts = new Attempts(dependencies, request, selector, delivered, events);
    this.slots = new RecoverySlots(dependencies, request.priority.rank);
    this.successors = new SuccessorSearch(dependencies, selector, this.slots, (silence, release) =>
      this.events.enqueue({ kind: 'successor-due', silence, release }),
    );
    this.timers = new AnswerTimers(dependencies, {
      onDeadline: () => this.events.enqueue({ kind: 'deadline-passed' }),
      onKeepAliveDue: () => this.events.enqueue({ kind: 'keep-alive' }),
    });
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

  /** Ends the generation with an error, because this VM stops. */
  stop(): void {
    this.events.enqueue({ kind: 'vm-stopping' });
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
    const { abandonedGraceMs } = this.dependencies;
    this.attempts.abandon(this.request.resumable ? abandonedGraceMs : 0);
    this.events.enqueue({ kind: 'cancelled' });
  }

  /** Yields the messages of the answer. Throws a LimeleadError if the generation fails. */
  async *messages(): AsyncGenerator<AnswerMessage> {
    this.timers.start(this.request.deadlineAtMs);
    try {
      while (this.state.phase !== 'done') {
        yield* this.advance(await this.events.dequeue());
      }
    } finally {
      this.timers.stop();
      this.successors.stop();
      this.slots.releaseAll();
      this.abandon();
    }
    if (this.failure !== undefined) {
      throw this.failure;
    }
  }

  private *advance(event: GenerationEvent): Generator<AnswerMessage> {
    switch (event.kind) {
      case 'keep-alive':
        this.timers.recordSent();
        yield event;
        return;
      case 'vm-stopping':
        yield* this.apply({ kind: 'cancelled' });
        this.failure = new LimeleadError('shutting-down', 'this VM stops', { execution: 'run' });
        return;
      case 'successor-due':
        yield* this.selectSuccessor(event.silence, event.release);
        return;
      case 'silent':
        yield* this.onSilence(event);
        return;
      case 'probe-unanswered':
        yield* this.onSilence({ kind: 'probed', attempt: event.attempt, running: false });
        return;
      case 'probed':
        // A target that does not know the generation has lost it; the attempt is not just silent.
        yield* event.running ? this.onSilence(event) : this.apply(event);
        return;
      default:
        yield* this.apply(event);
    }
  }

  /** Passes an event to the session and executes its commands. */
  private *apply(event: SessionEvent): Generator<AnswerMessage> {
    yield* this.executeStep(advanceSession(this.state, event, this.dependencies.clock.now()));
    this.successors.onEvent(event, this.state);
  }

  /** Executes the commands of a step; a new attempt is that of the successor, if there is one. */
  private *executeStep(step: Step, successor?: Successor): Generator<AnswerMessage> {
    this.state = step.state;
    for (const command of step.commands) {
      if (command.kind === 'send') {
        this.recordSent(command.message);
        yield command.message;
      } else if (command.kind === 'choose-target' && successor !== undefined) {
        this.slots.hold(command.attempt, successor.release);
        this.announceTarget(command.attempt, successor.target);
      } else {
        this.execute(command);
      }
    }
  }

  /** Withholds a silence by which the session would leave the attempt, until a target is found. */
  private *onSilence(event: SilenceEvent): Generator<AnswerMessage> {
    const step = advanceSession(this.state, event, this.dependencies.clock.now());
    if (!this.successors.withhold(event, step, this.state)) {
      yield* this.executeStep(step);
    }
  }

  private *selectSuccessor(silence: HeldSilence, release: ReleaseSlot): Generator<AnswerMessage> {
    if (!this.successors.isCurrent(silence)) {
      release();
      return;
    }
    const target = this.successors.selectTarget(silence);
    if (target === undefined) {
      release();
      yield* this.keepSilentAttempt(silence);
      return;
    }
    this.successors.stop();
    const step = advanceSession(this.state, silence.event, this.dependencies.clock.now());
    yield* this.executeStep(step, { target, release });
  }

  /** Goes on with the search while the target of the silent attempt is listed. */
  private *keepSilentAttempt(silence: HeldSilence): Generator<AnswerMessage> {
    if (this.successors.isTargetListed(silence)) {
      this.successors.retryLater(silence);
    } else {
      const { attempt } = silence.event;
      yield* this.apply({ kind: 'broken', attempt, cause: 'target-gone' });
    }
  }

  private execute(command: Exclude<SessionCommand, { kind: 'send' }>): void {
    switch (command.kind) {
      case 'choose-target':
        return this.chooseTarget(command);
      case 'start':
        return this.attempts.start(command);
      case 'attach':
        return this.attempts.attach(command);
      case 'probe':
        return void this.attempts.probe(command.attempt);
      case 'watch-silence':
        return this.attempts.watchSilence(command.attempt);
      case 'cancel-attempt':
        return this.cancelAttempt(command.attempt);
      case 'detach-attempt':
        return this.attempts.detach(command.attempt);
      case 'cancel-foreign':
        return this.attempts.cancelForeign(command);
      case 'wait-for-retry':
        return this.waitForRetry(command);
      case 'fail':
        this.failure = new LimeleadError(command.error, command.message);
        return undefined;
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
    const release = await this.slots.acquire();
    if (this.state.phase === 'done') {
      release();
      return;
    }
    this.slots.hold(command.attempt, release);
    this.chooseTargetNow(command);
  }

  private chooseTargetNow({ attempt, modelVersion, exclude }: CommandOf<'choose-target'>): void {
    const selected = this.selector.select(modelVersion, exclude);
    if (E.isLeft(selected)) {
      this.slots.release(attempt);
      this.events.enqueue({ kind: 'no-target', attempt, error: selected.left });
    } else {
      this.announceTarget(attempt, selected.right);
    }
  }

  private announceTarget(attempt: number, { targetId, binding, considered }: SelectedTarget): void {
    recordObservation(this.dependencies, this.request.requestId, {
      kind: 'targetChosen',
      target: targetId,
      attempt,
      reason: 'lowest expected time to the next token',
      considered,
    });
    this.events.enqueue({ kind: 'target-chosen', attempt, targetId, binding });
  }

  private cancelAttempt(attempt: number): void {
    if (this.attempts.cancel(attempt)) {
      this.slots.release(attempt);
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

  private recordSent(message: AnswerMessage): void {
    this.timers.recordSent();
    if (message.kind === 'finished') {
      this.dependencies.gaps.recordAnswerTokens(message.length);
    }
    if (message.kind !== 'tokens') {
      return;
    }
    this.slots.releaseAll();
    const { metrics, clock } = this.dependencies;
    if (this.delivered.length === 0) {
      metrics.recordMs('limelead_first_token_ms', clock.now() - this.startedAtMs);
    }
    metrics.count('limelead_tokens_delivered_total', message.tokens.length);
    this.delivered.push(...message.tokens);
  }
}
