/** Reads the stream of one attempt and converts it to session events. */
import type { PortFault } from '@limelead/errors';
import type { EngineStream, ModelEngine, PortCall } from '@limelead/ports';
import type { SessionEvent } from '@limelead/generation-session';
import computeSilenceTimeout, { computeFirstTokenTimeout } from '@limelead/suspect-silence';
import type {
  BreakCause,
  CancelTimer,
  EngineMessage,
  RecoveryPolicy,
  TargetId,
} from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import type { GenerationDependencies } from './dependencies.js';
import type EventQueue from './event-queue.js';

/** Attempt to read, its target and its timing parameters. */
export interface AttemptContext {
  number: number;
  targetId: TargetId;
  generationId: string;
  engine: ModelEngine;
  policy: RecoveryPolicy;
  /** Expected time to the first token. */
  expectedFirstTokenMs: number;
  /** Input tokens that the target has to process before the first token. */
  inputTokens: number;
  /** Milliseconds between tokens at the pace that the caller requested; 0 if unlimited. */
  paceGapMs: number;
  prefixHashes: string[];
}

/** Reads one attempt, watches for silence and records the target's health and load. */
export default class AttemptReader {
  /** Messages read so far. */
  messageCount = 0;
  private readonly abort = new AbortController();
  private stream: EngineStream | undefined;
  private cancelSilenceTimer: CancelTimer = () => undefined;
  private isClosed = false;
  private hasTokens = false;
  /** True from a silence to the next token. */
  private isSilent = false;
  private isPrefilling = true;
  private readonly startedAtMs: number;
  private lastMessageAtMs: number;

  constructor(
    readonly context: AttemptContext,
    private readonly dependencies: GenerationDependencies,
    private readonly events: Pick<EventQueue<SessionEvent>, 'enqueue' | 'enqueueAndWait'>,
  ) {
    this.startedAtMs = dependencies.clock.now();
    this.lastMessageAtMs = this.startedAtMs;
  }

  /** Opens the stream and reads it to its end. Never rejects. */
  async run(open: (signal: AbortSignal) => PortCall<EngineStream>): Promise<void> {
    const { targets, clock } = this.dependencies;
    targets.recordRequestSent(this.context.targetId, clock.now());
    targets.addPendingPrefill(this.context.targetId, this.context.inputTokens);
    this.restartSilenceTimer();
    const opened = await open(this.abort.signal)();
    if (E.isLeft(opened)) {
      this.reportFault(opened.left);
      return;
    }
    this.stream = opened.right;
    if (this.isClosed) {
      this.stream.close();
      return;
    }
    await this.readToEnd(opened.right);
  }

  /** Restarts the silence timeout. */
  restartSilenceTimer(): void {
    this.cancelSilenceTimer();
    if (!this.isClosed) {
      const { timers } = this.dependencies;
      this.cancelSilenceTimer = timers.after(this.computeSilenceTimeoutMs(), () =>
        this.reportSilence(),
      );
    }
  }

  /** Stops reading without cancelling the generation at the engine. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.cancelSilenceTimer();
    this.abort.abort();
    this.stream?.close();
    this.endPrefill();
    this.dependencies.targets.recordRequestDone(this.context.targetId);
  }

  private endPrefill(): void {
    if (this.isPrefilling) {
      this.isPrefilling = false;
      this.dependencies.targets.addPendingPrefill(this.context.targetId, -this.context.inputTokens);
    }
  }

  private async readToEnd(stream: EngineStream): Promise<void> {
    for (;;) {
      this.restartSilenceTimer();
      const message = await stream.read();
      this.messageCount += 1;
      this.cancelSilenceTimer();
      if (this.isClosed) {
        return;
      }
      if (message === undefined) {
        this.reportBreak('link-broken');
        return;
      }
      await this.report(message);
      if (message.kind === 'end') {
        this.close();
        return;
      }
    }
  }

  private async report(message: EngineMessage): Promise<void> {
    const { number: attempt, targetId, prefixHashes } = this.context;
    const { targets } = this.dependencies;
    switch (message.kind) {
      case 'accepted':
        targets.recordPrompt(targetId, prefixHashes);
        return this.events.enqueueAndWait({
          kind: 'opened',
          attempt,
          promptTokens: message.promptTokens,
        });
      case 'tokens':
        this.recordTokens();
        return this.events.enqueueAndWait({ ...message, attempt });
      case 'end':
        return this.events.enqueueAndWait({ ...message, kind: 'ended', attempt });
    }
  }

  private recordTokens(): void {
    const { clock, gaps, targets } = this.dependencies;
    const now = clock.now();
    if (!this.hasTokens || this.isSilent) {
      targets.recordSuccess(this.context.targetId);
    }
    if (this.hasTokens) {
      gaps.recordGap(this.context.targetId, now - this.lastMessageAtMs);
    } else {
      this.endPrefill();
      gaps.recordLateness(now - this.startedAtMs - this.context.expectedFirstTokenMs);
    }
    this.hasTokens = true;
    this.isSilent = false;
    this.lastMessageAtMs = now;
  }

  private computeSilenceTimeoutMs(): number {
    const { policy, expectedFirstTokenMs, paceGapMs, targetId } = this.context;
    const timeoutMs = this.hasTokens
      ? computeSilenceTimeout(this.dependencies.gaps.readGap(targetId), policy)
      : computeFirstTokenTimeout(
          expectedFirstTokenMs,
          this.dependencies.gaps.readLateness(),
          policy,
        );
    return timeoutMs + paceGapMs;
  }

  private reportSilence(): void {
    this.isSilent = true;
    this.recordTargetFailure();
    this.events.enqueue({ kind: 'silent', attempt: this.context.number });
  }

  private reportFault(fault: PortFault): void {
    if (this.isClosed) {
      return;
    }
    if (fault.reason !== 'gone') {
      this.recordTargetFailure();
    }
    this.reportBreak(BREAK_CAUSE_BY_FAULT[fault.reason]);
  }

  private reportBreak(cause: BreakCause): void {
    this.close();
    this.events.enqueue({ kind: 'broken', attempt: this.context.number, cause });
  }

  private recordTargetFailure(): void {
    const { targets, clock, onBreakerOpened } = this.dependencies;
    if (targets.recordFailure(this.context.targetId, clock.now())) {
      onBreakerOpened(this.context.targetId);
    }
  }
}

const BREAK_CAUSE_BY_FAULT: Readonly<Record<PortFault['reason'], BreakCause>> = {
  unreachable: 'refused',
  refused: 'refused',
  invalid: 'refused',
  gone: 'target-gone',
  timeout: 'link-broken',
  broken: 'link-broken',
};
