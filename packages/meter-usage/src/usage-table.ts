/**
 * What all VMs told, those that are gone included. Each tells its own sums so far, so
 * the largest of each incarnation counts, whatever is lost, repeated or reordered.
 */
import type { Clock, Millis } from '@limelead/types';
import addWindow, { isRetained } from './retained-windows.js';
import type { WindowCounts } from './types.js';

/** Counts by incarnation of the VM that told them, then by organisation. */
type WindowTable = Map<string, Map<string, number>>;

/** What a book needs. */
export interface UsageTableOptions {
  /** Gives true time, in milliseconds since 1970. */
  trueTime: Clock;
  windowMs: Millis;
}

/** Adds up. */
export default class UsageTable {
  private readonly windows = new Map<number, WindowTable>();
  /** By incarnation, of those that told of a window that is kept. */
  private readonly firstWhole = new Map<string, number>();

  constructor(private readonly options: UsageTableOptions) {}

  /** The first window that a VM counted from its beginning; undefined where nobody told of any. */
  get countedFrom(): number | undefined {
    return this.firstWhole.size === 0 ? undefined : Math.min(...this.firstWhole.values());
  }

  /**
   * A VM told its sums; those of windows that are over for long, or far ahead, are ignored.
   * @param countedFrom the first window that it counted from its beginning, as it says now: by
   * its first words alone, a VM whose clock was behind at its start had counted what it did not
   */
  recordCounts(incarnation: string, told: readonly WindowCounts[], countedFrom: number): void {
    const present = this.readPresent();
    for (const { window, counts } of told.filter((word) => isRetained(word.window, present))) {
      const book = this.windows.get(window) ?? this.open(window, present);
      const largest = book.get(incarnation) ?? new Map<string, number>();
      book.set(incarnation, largest);
      this.firstWhole.set(incarnation, countedFrom);
      for (const [organisation, requests] of counts) {
        largest.set(organisation, Math.max(requests, largest.get(organisation) ?? 0));
      }
    }
  }

  /** Requests of each organisation in one window. */
  sum(window: number): Map<string, number> {
    const sums = new Map<string, number>();
    for (const counts of this.windows.get(window)?.values() ?? []) {
      for (const [organisation, requests] of counts) {
        sums.set(organisation, (sums.get(organisation) ?? 0) + requests);
      }
    }
    return sums;
  }

  /** Number of VMs that told of one window. */
  countReportingVms(window: number): number {
    return this.windows.get(window)?.size ?? 0;
  }

  private open(window: number, present: number): WindowTable {
    const book: WindowTable = new Map();
    addWindow(this.windows, window, book, present);
    this.forgetSilent();
    return book;
  }

  private forgetSilent(): void {
    const tellers = new Set([...this.windows.values()].flatMap((book) => [...book.keys()]));
    for (const incarnation of [...this.firstWhole.keys()]) {
      if (!tellers.has(incarnation)) {
        this.firstWhole.delete(incarnation);
      }
    }
  }

  private readPresent(): number {
    const { trueTime, windowMs } = this.options;
    return Math.floor(trueTime.now() / windowMs);
  }
}
