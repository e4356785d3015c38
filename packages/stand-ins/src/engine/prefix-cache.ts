/** A bounded cache of prompt prefixes that publishes its changes late and with gaps. */
import { hashPromptBlocks } from '@limelead/outside-protocol';
import type { CacheEvent, Clock } from '@limelead/types';

const KEPT_EVENTS = 1_000;

/** How the cache behaves. */
export interface PrefixCacheOptions {
  capacityBlocks: number;
  /** Milliseconds until an event is published. */
  lagMs: number;
  /** Every so many events one is never published; 0 publishes all. */
  omitEveryNthEvent: number;
}

/** The cache of one engine. */
export default class PrefixCache {
  private readonly blocks = new Set<string>();
  private events: { event: CacheEvent; atMs: number }[] = [];
  private sequence = 0;

  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly clock: Clock,
  ) {}

  /** Share of the prompt that is cached, 0 to 1. */
  cachedShare(prompt: string): number {
    const hashes = hashPromptBlocks(prompt);
    const longest = hashes.findLastIndex((hash) => this.blocks.has(hash));
    return hashes.length === 0 ? 0 : (longest + 1) / hashes.length;
  }

  /** Takes a prompt's prefixes in; the longest unused ones go. */
  store(prompt: string): void {
    for (const hash of hashPromptBlocks(prompt)) {
      if (!this.blocks.delete(hash)) {
        this.publish(hash, 'stored');
      }
      this.blocks.add(hash);
    }
    for (const oldest of this.blocks) {
      if (this.blocks.size <= this.options.capacityBlocks) {
        break;
      }
      this.blocks.delete(oldest);
      this.publish(oldest, 'evicted');
    }
  }

  /** Events above a sequence number that are published by now. */
  eventsAfter(sequence: number): CacheEvent[] {
    const published = this.clock.now() - this.options.lagMs;
    return this.events
      .filter(({ event, atMs }) => event.sequence > sequence && atMs <= published)
      .map(({ event }) => event);
  }

  private publish(prefixHash: string, change: CacheEvent['change']): void {
    this.sequence += 1;
    const { omitEveryNthEvent } = this.options;
    if (omitEveryNthEvent > 0 && this.sequence % omitEveryNthEvent === 0) {
      return;
    }
    const event = { sequence: this.sequence, prefixHash, change };
    this.events = [...this.events.slice(1 - KEPT_EVENTS), { event, atMs: this.clock.now() }];
  }
}
