/** The attempts of one generation at their targets. */
import type { SessionCommand, SessionEvent } from '@limelead/generation-session';
import type { TrackedTarget } from '@limelead/track-targets';
import type { GenerationRequest, Millis, TargetId } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import AttemptReader, { type AttemptContext } from './attempt-reader.js';
import cancelWithRetries from './cancel-with-retries.js';
import type { GenerationDependencies } from './dependencies.js';
import type EventQueue from './event-queue.js';
import type TargetSelector from './target-selector.js';

type CommandOf<Kind extends SessionCommand['kind']> = Extract<SessionCommand, { kind: Kind }>;

/** Event of the session, or a probe that the target did not answer. */
export type AttemptEvent = SessionEvent | { kind: 'probe-unanswered'; attempt: number };

/** Opens, reads and cancels attempts, which report to the event queue. */
export default class Attempts {
  private readonly readers = new Map<number, AttemptReader>();
  private isAbandoned = false;

  /** `delivered` is the growing list of delivered tokens. */
  constructor(
    private readonly dependencies: GenerationDependencies,
    private readonly request: GenerationRequest,
    private readonly selector: TargetSelector,
    private readonly delivered: readonly string[],
    private readonly events: Pick<EventQueue<AttemptEvent>, 'enqueue' | 'enqueueAndWait'>,
  ) {}

  /** Starts a generation that continues the delivered tokens. */
  start(command: CommandOf<'start'>): void {
    const { attempt, targetId, generationId, binding, prefixLength } = command;
    const reader = this.createReader(attempt, targetId, generationId, true);
    const { prompt, maxTokens, priority, paceTokensPerSecond } = this.request;
    void reader?.run((signal) =>
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

  /** Attaches to a running generation. */
  attach(command: CommandOf<'attach'>): void {
    const { attempt, targetId, generationId, fromOffset } = command;
    const reader = this.createReader(attempt, targetId, generationId, false);
    void reader?.run((signal) =>
      reader.context.engine.attach({ generationId, attempt, fromOffset }, signal),
    );
  }

  /** Restarts the silence timeout of an attempt. */
  watchSilence(attempt: number): void {
    this.readers.get(attempt)?.restartSilenceTimer();
  }

  /** Asks the target whether it still runs the generation of an attempt. */
  async probe(attempt: number): Promise<void> {
    const reader = this.readers.get(attempt);
    if (reader === undefined) {
      return;
    }
    const { context, messageCount } = reader;
    const answer = await context.engine.probe(context.generationId)();
    // The silence is over if a message has arrived since.
    if (reader.messageCount !== messageCount) {
      return;
    }
    this.events.enqueue(
      E.isRight(answer)
        ? { kind: 'probed', attempt, running: answer.right }
        : { kind: 'probe-unanswered', attempt },
    );
  }

  /** Stops reading an attempt and cancels it at its target; returns false if none is read. */
  cancel(attempt: number): boolean {
    const reader = this.readers.get(attempt);
    if (reader === undefined || this.isAbandoned) {
      return false;
    }
    reader.close();
    this.readers.delete(attempt);
    this.cancelAtTarget(reader.context);
    return true;
  }

  /** Stops reading an attempt without cancelling it. */
  detach(attempt: number): void {
    this.readers.get(attempt)?.close();
  }

  /** Cancels a generation that another VM started. */
  cancelForeign({ targetId, generationId, attempt }: CommandOf<'cancel-foreign'>): void {
    const target = this.dependencies.targets.find(targetId);
    if (target !== undefined && !this.isAbandoned) {
      const engine = this.dependencies.connector.engine(target.host, target.port);
      void cancelWithRetries(this.dependencies, engine, generationId, attempt);
    }
  }

  /** Stops reading all attempts and cancels them after a grace period. */
  abandon(graceMs: Millis): void {
    this.isAbandoned = true;
    const readers = [...this.readers.values()];
    readers.forEach((reader) => reader.close());
    this.dependencies.timers.after(graceMs, () =>
      readers.forEach((reader) => this.cancelAtTarget(reader.context)),
    );
  }

  private cancelAtTarget({ engine, generationId, number }: AttemptContext): void {
    void cancelWithRetries(this.dependencies, engine, generationId, number);
  }

  /** Creates the reader of an attempt, which is broken if its target is no longer known. */
  private createReader(
    attempt: number,
    targetId: TargetId,
    generationId: string,
    needsPrefill: boolean,
  ): AttemptReader | undefined {
    const target = this.dependencies.targets.find(targetId);
    if (target === undefined) {
      this.events.enqueue({ kind: 'broken', attempt, cause: 'target-gone' });
      return undefined;
    }
    const context = this.createContext(attempt, target, generationId, needsPrefill);
    const reader = new AttemptReader(context, this.dependencies, this.events);
    this.readers.set(attempt, reader);
    return reader;
  }

  private createContext(
    number: number,
    target: TrackedTarget,
    generationId: string,
    needsPrefill: boolean,
  ): AttemptContext {
    const { priority, paceTokensPerSecond } = this.request;
    const { costMs, uncachedTokens } = this.selector.estimateOpeningCost(target);
    return {
      number,
      targetId: target.id,
      generationId,
      engine: this.dependencies.connector.engine(target.host, target.port),
      policy: priority.recovery,
      expectedFirstTokenMs: needsPrefill ? costMs : 0,
      inputTokens: needsPrefill ? uncachedTokens : 0,
      paceGapMs: paceTokensPerSecond > 0 ? 1000 / paceTokensPerSecond : 0,
      prefixHashes: this.selector.prefixHashes,
    };
  }
}
