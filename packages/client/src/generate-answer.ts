/** Streams one answer to its end and resumes it through other VMs after failures. */
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
import readErrorDetail, { type ErrorInfo } from './read-error-detail.js';
import type TransportPool from './transport-pool.js';

const RETRY_DELAY_MS = 50;
/** Three times the interval at which VMs send keep-alive messages. */
const SILENCE_TIMEOUT_MS = 1_500;

/** A generation request; omitted fields have their defaults. */
export type AnswerRequest = Pick<
  GenerateRequest,
  'requestId' | 'service' | 'prompt' | 'maxTokens'
> &
  Partial<Pick<GenerateRequest, 'priority' | 'deadlineMs' | 'paceTokensPerSecond'>>;

/** An event of an answer. */
export type AnswerEvent =
  | { kind: 'started'; started: Started }
  | { kind: 'tokens'; offset: number; tokens: string[] }
  /** The stream ended early and is resumed, usually through another VM; no token is lost. */
  | { kind: 'moved'; reason: string }
  | { kind: 'finished'; finished: Finished };

/** Dependencies of calls and answers. */
export interface ClientDependencies {
  transports: TransportPool;
  timers: Timers;
  random: Random;
  headers: Record<string, string>;
  /** Maximum attempts of a call, or consecutive attempts of an answer without a new token. */
  maxAttempts: number;
}

/** Yields the events of an answer. Throws a `ConnectError` or `LimeleadError` on final failure. */
export default async function* generateAnswer(
  dependencies: ClientDependencies,
  request: AnswerRequest,
  signal?: AbortSignal,
): AsyncGenerator<AnswerEvent> {
  const reader = new AnswerReader(dependencies, request, signal);
  yield* reader.read();
}

class AnswerReader {
  private readonly request: GenerateRequest;
  private readonly deliveredTokens: string[] = [];
  private handle = '';
  private resumeAttempts = 0;
  private attemptsWithoutProgress = 0;

  constructor(
    private readonly dependencies: ClientDependencies,
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
      this.attemptsWithoutProgress += 1;
      yield { kind: 'moved', reason: outcome };
    }
  }

  /** Reads one stream. Returns 'finished', or the reason why the answer must be resumed. */
  private async *readOneStream(): AsyncGenerator<AnswerEvent, string> {
    const silenceTimeout = new SilenceTimeout(this.dependencies.timers, this.signal);
    try {
      for await (const response of this.openStream({ signal: silenceTimeout.signal })) {
        silenceTimeout.onMessage();
        const event = this.handleResponse(response);
        if (event !== undefined) {
          yield event;
        }
        if (event?.kind === 'finished') {
          return 'finished';
        }
        if (response.event.case === 'handover') {
          this.dependencies.transports.switchToNext();
          return 'the VM is stopping';
        }
      }
      return 'the stream ended early';
    } catch (thrown) {
      this.signal?.throwIfAborted();
      return await this.retryOrThrow(thrown);
    } finally {
      silenceTimeout.close();
    }
  }

  private openStream(options: CallOptions): AsyncIterable<GenerateResponse> {
    const { transports, headers } = this.dependencies;
    const client = createRpcClient(Generation, transports.getCurrent());
    const callOptions = { ...options, headers };
    if (this.handle === '') {
      return client.generate(this.request, callOptions);
    }
    const { request, handle, resumeAttempts, deliveredTokens } = this;
    this.resumeAttempts += 1;
    return client.resume({ request, handle, tries: resumeAttempts, deliveredTokens }, callOptions);
  }

  private handleResponse({ event }: GenerateResponse): AnswerEvent | undefined {
    switch (event.case) {
      case 'started':
        this.handle = event.value.handle;
        this.resumeAttempts = 0;
        return { kind: 'started', started: event.value };
      case 'tokens':
        return this.handleTokens(event.value.offset, event.value.tokens);
      case 'finished':
        this.checkLength(event.value.length);
        return { kind: 'finished', finished: event.value };
      default:
        return undefined;
    }
  }

  private handleTokens(offset: number, tokens: string[]): AnswerEvent {
    if (offset !== this.deliveredTokens.length) {
      const expected = this.deliveredTokens.length;
      throw new LimeleadError('internal', `expected token offset ${expected}, found ${offset}`);
    }
    this.deliveredTokens.push(...tokens);
    this.attemptsWithoutProgress = 0;
    return { kind: 'tokens', offset, tokens };
  }

  private checkLength(length: number): void {
    if (length !== this.deliveredTokens.length) {
      const found = this.deliveredTokens.length;
      throw new LimeleadError('internal', `expected ${length} tokens, found ${found}`);
    }
  }

  /** Switches to another VM and waits before the retry. Throws errors that can't be retried. */
  private async retryOrThrow(thrown: unknown): Promise<string> {
    if (thrown instanceof LimeleadError) {
      throw thrown;
    }
    const error = readErrorDetail(thrown);
    const canRetry = error.kind === undefined || error.mayRetry;
    if (!canRetry || this.attemptsWithoutProgress + 1 >= this.dependencies.maxAttempts) {
      throw thrown;
    }
    this.dependencies.transports.switchToNext();
    await this.waitBeforeRetry(error);
    return error.message;
  }

  private waitBeforeRetry(error: ErrorInfo): Promise<void> {
    const { timers, random } = this.dependencies;
    const backoffMs = RETRY_DELAY_MS * this.attemptsWithoutProgress;
    const waitMs = Math.max(backoffMs, error.retryAfterMs);
    return delay(timers, waitMs * (1 + random.next() / 2));
  }
}

/** Aborts a stream when no message arrives for `SILENCE_TIMEOUT_MS` or the caller aborts it. */
class SilenceTimeout {
  private readonly abortController = new AbortController();
  private cancelTimer: () => void = () => undefined;
  private readonly onCallerAbort = (): void => this.abortController.abort();

  constructor(
    private readonly timers: Timers,
    private readonly callerSignal: AbortSignal | undefined,
  ) {
    callerSignal?.addEventListener('abort', this.onCallerAbort, { once: true });
    this.onMessage();
  }

  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  onMessage(): void {
    this.cancelTimer();
    this.cancelTimer = this.timers.after(SILENCE_TIMEOUT_MS, () => this.abortController.abort());
  }

  close(): void {
    this.cancelTimer();
    this.callerSignal?.removeEventListener('abort', this.onCallerAbort);
    this.abortController.abort();
  }
}
