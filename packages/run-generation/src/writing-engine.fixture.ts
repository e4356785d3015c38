/** Engine that writes tokens at a steady pace and can fall silent as a whole. */
import { PortFault } from '@limelead/errors';
import type { EngineStream, ModelEngine, PortCall } from '@limelead/ports';
import type { ManualTime } from '@limelead/stand-ins';
import { delay, type AttachOrder, type EngineMessage, type StartOrder } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';

/** Time between two tokens. */
export const TOKEN_GAP_MS = 20;
/** Time after which a request to a silent engine fails. */
const REQUEST_TIMEOUT_MS = 300;

/** Names the token at an offset. */
export function tokenAt(offset: number): string {
  return `t${offset}`;
}

/** Engine whose answers have a fixed length. While it is silent, nothing arrives from it. */
export default class WritingEngine {
  readonly started: string[] = [];
  readonly cancelled: string[] = [];
  readonly startedAtMs: number[] = [];
  readonly cancelRequestedAtMs: number[] = [];
  private readonly running = new Set<string>();
  private readonly closedStreams = new Set<string>();
  private answersRequests = true;
  private whenResumed: Promise<void> | undefined;
  private breakNow: () => void = () => undefined;
  private readonly whenBroken = new Promise<void>((resolve) => (this.breakNow = resolve));
  private resumeNow: () => void = () => undefined;

  readonly port: Partial<ModelEngine> = {
    start: (order) => this.start(order),
    attach: (order) => this.attach(order),
    cancel: (generationId) => this.request(() => this.cancel(generationId), true),
    probe: (generationId) => this.request(() => this.running.has(generationId)),
  };

  constructor(
    private readonly time: ManualTime,
    private readonly answerTokens: number,
  ) {}

  /** Whether requests get no answer. */
  get isSilent(): boolean {
    return !this.answersRequests;
  }

  /** Falls silent until `resume`; it may still answer requests. */
  pause(answersRequests = false): void {
    this.answersRequests = answersRequests;
    this.whenResumed ??= new Promise((resolve) => (this.resumeNow = resolve));
  }

  /** Goes on as if nothing had happened. */
  resume(): void {
    this.whenResumed = undefined;
    this.answersRequests = true;
    this.resumeNow();
  }

  /** Forgets its generations, as a restarted engine does; connections stay. */
  forgetGenerations(): void {
    this.running.clear();
  }

  /** Closes all connections. */
  breakStreams(): void {
    this.started.forEach((generationId) => this.closedStreams.add(generationId));
    this.breakNow();
  }

  /** Runs a generation that another VM started. */
  run(generationId: string): void {
    this.running.add(generationId);
  }

  private start({ generationId, forcedPrefix }: StartOrder): PortCall<EngineStream> {
    return async () => {
      this.started.push(generationId);
      this.startedAtMs.push(this.time.clock.now());
      this.running.add(generationId);
      await this.whenResumed;
      return E.right(this.createStream(generationId, forcedPrefix.length));
    };
  }

  private attach({ generationId, fromOffset }: AttachOrder): PortCall<EngineStream> {
    return async () => {
      await this.whenResumed;
      return this.running.has(generationId)
        ? E.right(this.createStream(generationId, fromOffset))
        : E.left(new PortFault('gone', 'maybe', 'not found'));
    };
  }

  private createStream(generationId: string, fromOffset: number): EngineStream {
    let offset = fromOffset;
    let isAccepted = false;
    const read = async (): Promise<EngineMessage | undefined> => {
      await this.whenResumed;
      if (!isAccepted) {
        isAccepted = true;
        return { kind: 'accepted', cachedPromptTokens: 0, promptTokens: 3 };
      }
      if (offset === this.answerTokens) {
        return { kind: 'end', length: offset, reason: 'stop' };
      }
      await delay(this.time.timers, TOKEN_GAP_MS);
      await Promise.race([this.whenResumed, this.whenBroken]);
      if (this.closedStreams.has(generationId)) {
        return undefined;
      }
      offset += 1;
      return { kind: 'tokens', offset: offset - 1, tokens: [tokenAt(offset - 1)] };
    };
    return { read, close: () => undefined };
  }

  private cancel(generationId: string): void {
    this.cancelled.push(generationId);
    this.running.delete(generationId);
  }

  private request<Answer>(answer: () => Answer, isCancel = false): PortCall<Answer> {
    return async () => {
      if (isCancel) {
        this.cancelRequestedAtMs.push(this.time.clock.now());
      }
      if (!this.answersRequests) {
        await delay(this.time.timers, REQUEST_TIMEOUT_MS);
        return E.left(new PortFault('timeout', 'maybe', 'no answer'));
      }
      return E.right(answer());
    };
  }
}
