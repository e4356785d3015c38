/** A bounded LRU cache of prompt prefixes that publishes its events late and with gaps. */
import { hashPromptBlocks } from '@limelead/outside-protocol';
import type { CacheEvent, Clock } from '@limelead/types';

const MAX_EVENTS = 1_000;

/** Capacity of the cache and faults of its events. */
export interface PrefixCacheOptions {
  capacityBlocks: number;
  /** Delay until an event is published. */
  lagMs: number;
  /** Every nth event is never published; 0 publishes all. */
  omitEveryNthEvent: number;
}

/** Prefix cache of one engine. */
export default class PrefixCache {
  private readonly blocks = new Set<string>();
  private events: { event: CacheEvent; atMs: number }[] = [];
  private sequence = 0;

  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly clock: Clock,
  ) {}

  /** Returns the share of the prompt that is cached, 0 to 1. */
  cachedShare(prompt: string): number {
    const hashes = hashPromptBlocks(prompt);
    const lastCached = hashes.findLastIndex((hash) => this.blocks.has(hash));
    return hashes.length === 0 ? 0 : (lastCached + 1) / hashes.length;
  }

  /** Stores the prefixes of a prompt and evicts the least recently used blocks. */
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

  /** Returns the events published so far with a higher sequence number. */
  eventsAfter(sequence: number): CacheEvent[] {
    const publishedUntilMs = this.clock.now() - this.options.lagMs;
    return this.events
      .filter(({ event, atMs }) => event.sequence > sequence && atMs <= publishedUntilMs)
      .map(({ event }) => event);
  }

  private publish(prefixHash: string, change: CacheEvent['change']): void {
    this.sequence += 1;
    const { omitEveryNthEvent } = this.options;
    if (omitEveryNthEvent > 0 && this.sequence % omitEveryNthEvent === 0) {
      return;
    }
    const event = { sequence: this.sequence, prefixHash, change };
    this.events = [...this.events.slice(1 - MAX_EVENTS), { event, atMs: this.clock.now() }];
  }
}
