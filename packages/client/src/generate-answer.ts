/** Reads one answer to its end, through as many VMs as it takes. */
import { createClient as createRpcClient, type CallOptions } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { LimeleadError } from '@limelead/errors';
import {
  Generation,
  GenerateRequestSchema,
  type Finished,
  type GenerateRequest,
  type GenerateResponse,
  type Started,
} from '@limelead/schema';
import { delay, type Random, type Timers } from '@limelead/types';
import readErrorDetail, { type ReadError } from './read-error.js';
import type Transports from './transports.js';

const RETRY_DELAY_MS = 50;
/** A VM sends something every half second; three are allowed to be late. */
const LINK_SILENCE_MS = 1_500;

/** A request; the rest of its fields take their defaults. */
export type AnswerRequest = Pick<
  GenerateRequest,
  'requestId' | 'service' | 'prompt' | 'maxTokens'
> &
  Partial<Pick<GenerateRequest, 'priority' | 'deadlineMs' | 'paceTokensPerSecond'>>;

/** What a caller sees of its answer. */
export type AnswerEvent =
  | { kind: 'started'; started: Started }
  | { kind: 'tokens'; offset: number; tokens: string[] }
  /** The answer goes on through another VM; nothing is lost. */
  | { kind: 'moved'; reason: string }
  | { kind: 'finished'; finished: Finished };

/** What reading an answer needs. */
export interface AnswerDependencies {
  transports: Transports;
  timers: Timers;
  random: Random;
  headers: Record<string, string>;
  /** Tries in a row without a new token after which an answer is given up. */
  maxTries: number;
}

/** Gives the answer's events. Throws a ConnectError or a LimeleadError where it is given up. */
export default async function* generateAnswer(
  dependencies: AnswerDependencies,
  request: AnswerRequest,
  signal?: AbortSignal,
): AsyncGenerator<AnswerEvent> {
  const reader = new AnswerReader(dependencies, request, signal);
  yield* reader.read();
}

class AnswerReader {
  private readonly request: GenerateRequest;
  private readonly delivered: string[] = [];
  private handle = '';
  private tries = 0;
  private triesWithoutProgress = 0;

  constructor(
    private readonly dependencies: AnswerDependencies,
    request: AnswerRequest,
    private readonly signal: AbortSignal | undefined,
  ) {
    this.request = create(GenerateRequestSchema, { ...request, resumable: true });
  }

  async *read(): AsyncGenerator<AnswerEvent> {
    for (;;) {
      const outcome = yield* this.readOneStream();
      if (outcome === 'finished') {
        return;
      }
      this.triesWithoutProgress += 1;
      yield { kind: 'moved', reason: outcome };
    }
  }

  /** Reads one stream; gives 'finished', or why the answer has to go on elsewhere. */
  private async *readOneStream(): AsyncGenerator<AnswerEvent, string> {
    const link = new LinkWatch(this.dependencies.timers, this.signal);
    try {
      for await (const response of this.open({ signal: link.signal })) {
        link.noteMessage();
        const event = this.take(response);
        if (event !== undefined) {
          yield event;
        }
        if (event?.kind === 'finished') {
          return 'finished';
        }
        if (response.event.case === 'handover') {
          this.dependencies.transports.moveOn();
          return 'the VM is stopping';
        }
      }
      return 'the stream ended early';
    } catch (thrown) {
      this.signal?.throwIfAborted();
      return await this.decideOnError(thrown);
    } finally {
      link.close();
    }
  }

  private open(options: CallOptions): AsyncIterable<GenerateResponse> {
    const { transports, headers } = this.dependencies;
    const client = createRpcClient(Generation, transports.get());
    const withHeaders = { ...options, headers };
    if (this.handle === '') {
      return client.generate(this.request, withHeaders);
    }
    const { request, handle, tries, delivered } = this;
    this.tries += 1;
    return client.resume({ request, handle, tries, deliveredTokens: delivered }, withHeaders);
  }

  private take({ event }: GenerateResponse): AnswerEvent | undefined {
    switch (event.case) {
      case 'started':
        this.handle = event.value.handle;
        this.tries = 0;
        return { kind: 'started', started: event.value };
      case 'tokens':
        return this.takeTokens(event.value.offset, event.value.tokens);
      case 'finished':
        this.checkLength(event.value.length);
        return { kind: 'finished', finished: event.value };
      default:
        return undefined;
    }
  }

  private takeTokens(offset: number, tokens: string[]): AnswerEvent {
    if (offset !== this.delivered.length) {
      const expected = this.delivered.length;
      throw new LimeleadError('internal', `expected the token ${expected}, found ${offset}`);
    }
    this.delivered.push(...tokens);
    this.triesWithoutProgress = 0;
    return { kind: 'tokens', offset, tokens };
  }

  private checkLength(length: number): void {
    if (length !== this.delivered.length) {
      const found = this.delivered.length;
      throw new LimeleadError('internal', `expected ${length} tokens, found ${found}`);
    }
  }

  /** Moves on to another VM, or throws what can't be mended by it. */
  private async decideOnError(thrown: unknown): Promise<string> {
    if (thrown instanceof LimeleadError) {
      throw thrown;
    }
    const error = readErrorDetail(thrown);
    const mayGoOn = error.kind === undefined || error.mayRetry;
    if (!mayGoOn || this.triesWithoutProgress + 1 >= this.dependencies.maxTries) {
      throw thrown;
    }
    this.dependencies.transports.moveOn();
    await this.waitBeforeRetry(error);
    return error.message;
  }

  private waitBeforeRetry(error: ReadError): Promise<void> {
    const { timers, random } = this.dependencies;
    const backoffMs = RETRY_DELAY_MS * this.triesWithoutProgress;
    const waitMs = Math.max(backoffMs, error.retryAfterMs);
    return delay(timers, waitMs * (1 + random.next() / 2));
  }
}

/** Ends a stream whose VM was silent for too long. */
class LinkWatch {
  private readonly abort = new AbortController();
  private cancelTimer: () => void = () => undefined;
  private readonly onOuterAbort = (): void => this.abort.abort();

  constructor(
    private readonly timers: Timers,
    private readonly outer: AbortSignal | undefined,
  ) {
    outer?.addEventListener('abort', this.onOuterAbort, { once: true });
    this.noteMessage();
  }

  get signal(): AbortSignal {
    return this.abort.signal;
  }

  noteMessage(): void {
    this.cancelTimer();
    this.cancelTimer = this.timers.after(LINK_SILENCE_MS, () => this.abort.abort());
  }

  close(): void {
    this.cancelTimer();
    this.outer?.removeEventListener('abort', this.onOuterAbort);
    this.abort.abort();
  }
}
