/** Simulates continuous batching: each step decodes one token per running generation; slots go by rank. */
import { countPromptTokens } from '@limelead/outside-protocol';
import type { Clock, FinishReason, StartOrder } from '@limelead/types';
import type PrefixCache from './prefix-cache.js';
import { answerLength, tokenAt, type TokenSource } from './tokens.js';

/** Slots and speed of an engine. */
export interface BatchOptions {
  slots: number;
  /** Duration of a step with an empty batch. */
  baseGapMs: number;
  /** Share of `baseGapMs` that a full batch adds to a step. */
  loadSlowdown: number;
  prefillTokensPerSecond: number;
  /** Time for which a generation without a reader keeps running. */
  orphanMs: number;
}

/** Work that an engine did for one generation and how the generation ended. */
export interface GenerationRecord {
  generationId: string;
  prefillTokens: number;
  decodedTokens: number;
  ended: 'running' | 'finished' | 'cancelled' | 'orphaned';
}

/** A generation in the batch. */
export interface EngineGeneration {
  order: StartOrder;
  source: TokenSource;
  /** Attempt of the current reader; lower attempts are fenced. */
  attempt: number;
  nextOffset: number;
  length: number;
  isPrefilled: boolean;
  remainingPrefillTokens: number;
  nextTokenAtMs: number;
  withoutReaderSinceMs: number | undefined;
  /** Tells the reader that tokens or the state changed. */
  notifyReader: () => void;
  record: GenerationRecord;
}

/** Running and waiting generations of one engine. */
export default class Batch {
  readonly records: GenerationRecord[] = [];
  private readonly generations = new Map<string, EngineGeneration>();
  private lastStepMs: number;

  constructor(
    private readonly options: BatchOptions,
    private readonly cache: PrefixCache,
    private readonly clock: Clock,
  ) {
    this.lastStepMs = clock.now();
  }

  /** Adds a generation; returns how many of its prompt tokens are cached. */
  add(
    order: StartOrder,
    hasImportedKv: boolean,
  ): { cachedPromptTokens: number; promptTokens: number } {
    const promptTokens = countPromptTokens(order.prompt);
    const cachedShare = hasImportedKv ? 1 : this.cache.cachedShare(order.prompt);
    const cachedPromptTokens = Math.floor(promptTokens * cachedShare);
    const prefixTokens = hasImportedKv ? 0 : order.forcedPrefix.length;
    const source = { prompt: order.prompt, modelVersion: order.modelVersion, seed: order.seed };
    const record: GenerationRecord = {
      generationId: order.generationId,
      prefillTokens: promptTokens - cachedPromptTokens + prefixTokens,
      decodedTokens: 0,
      ended: 'running',
    };
    this.records.push(record);
    this.generations.set(order.generationId, {
      order,
      source,
      attempt: order.attempt,
      nextOffset: order.forcedPrefix.length,
      length: answerLength(source, order.maxTokens),
      isPrefilled: false,
      remainingPrefillTokens: record.prefillTokens,
      nextTokenAtMs: 0,
      withoutReaderSinceMs: undefined,
      notifyReader: () => undefined,
      record,
    });
    return { cachedPromptTokens, promptTokens };
  }

  find(generationId: string): EngineGeneration | undefined {
    return this.generations.get(generationId);
  }

  /** Removes a generation and records how it ended. */
  remove(generation: EngineGeneration, ended: GenerationRecord['ended']): void {
    generation.record.ended = ended;
    this.generations.delete(generation.order.generationId);
    generation.notifyReader();
  }

  get running(): EngineGeneration[] {
    return this.listUnfinishedByRank().slice(0, this.options.slots);
  }

  get waiting(): number {
    return Math.max(0, this.unfinished - this.options.slots);
  }

  /** Generations that still have tokens to decode. */
  get unfinished(): number {
    return this.listUnfinishedByRank().length;
  }

  /** Current time between two tokens of one stream. */
  get tokenGapMs(): number {
    const { baseGapMs, loadSlowdown, slots } = this.options;
    return baseGapMs * (1 + (loadSlowdown * this.running.length) / slots);
  }

  /** Runs one step: prefill by rank, then one token for each prefilled generation. */
  step(): void {
    const now = this.clock.now();
    this.prefill(now - this.lastStepMs);
    this.lastStepMs = now;
    for (const generation of this.running) {
      this.decode(generation, now);
    }
    this.removeOrphans(now);
  }

  static finishReasonOf(generation: EngineGeneration): FinishReason {
    return generation.length < generation.order.maxTokens ? 'stop' : 'length';
  }

  private listUnfinishedByRank(): EngineGeneration[] {
    return [...this.generations.values()]
      .filter((generation) => generation.nextOffset < generation.length)
      .sort((a, b) => a.order.rank - b.order.rank);
  }

  private prefill(elapsedMs: number): void {
    let budget = (elapsedMs * this.options.prefillTokensPerSecond) / 1000;
    for (const generation of this.running) {
      if (generation.isPrefilled) {
        continue;
      }
      const processed = Math.min(budget, generation.remainingPrefillTokens);
      generation.remainingPrefillTokens -= processed;
      budget -= processed;
      if (generation.remainingPrefillTokens > 0) {
        return;
      }
      generation.isPrefilled = true;
      this.cache.store(generation.order.prompt);
    }
  }

  private decode(generation: EngineGeneration, now: number): void {
    if (!generation.isPrefilled || now < generation.nextTokenAtMs) {
      return;
    }
    generation.nextOffset += 1;
    generation.record.decodedTokens += 1;
    const { paceTokensPerSecond } = generation.order;
    generation.nextTokenAtMs = paceTokensPerSecond > 0 ? now + 1000 / paceTokensPerSecond : 0;
    generation.notifyReader();
  }

  private removeOrphans(now: number): void {
    for (const generation of this.generations.values()) {
      const { withoutReaderSinceMs } = generation;
      if (
        withoutReaderSinceMs !== undefined &&
        now - withoutReaderSinceMs > this.options.orphanMs
      ) {
        this.remove(generation, 'orphaned');
      }
    }
  }
}

/** Returns the decoded tokens of a generation, starting at an offset. */
export function listDecodedTokens(generation: EngineGeneration, from: number): string[] {
  const { order, nextOffset, source } = generation;
  return Array.from({ length: Math.max(0, nextOffset - from) }, (_, index) => {
    const offset = from + index;
    return order.forcedPrefix[offset] ?? tokenAt(source, offset);
  });
}
