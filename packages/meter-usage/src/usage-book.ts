/**
 * What all VMs told, those that are gone included. Each tells its own sums so far, so
 * the largest of each incarnation counts, whatever is lost, repeated or reordered.
 */
import openWindow from './open-window.js';
import type { WindowCounts } from './types.js';

/** Counts by incarnation of the VM that told them, then by organisation. */
type WindowBook = Map<string, Map<string, number>>;

/** Adds up. */
export default class UsageBook {
  private readonly windows = new Map<number, WindowBook>();

  /** The first window that is kept; undefined where nobody told of any. */
  get oldestTold(): number | undefined {
    return this.windows.size === 0 ? undefined : Math.min(...this.windows.keys());
  }

  /** A VM told its sums. */
  hear(incarnation: string, told: readonly WindowCounts[]): void {
    for (const { window, counts } of told) {
      const book = this.windows.get(window) ?? this.open(window);
      const largest = book.get(incarnation) ?? new Map<string, number>();
      book.set(incarnation, largest);
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
  countTellers(window: number): number {
    return this.windows.get(window)?.size ?? 0;
  }

  private open(window: number): WindowBook {
    const book: WindowBook = new Map();
    openWindow(this.windows, window, book);
    return book;
  }
}
