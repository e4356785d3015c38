/** Counts what began for the callers of this VM, by window and organisation. */
import type { Clock, Millis } from '@limelead/types';
import addWindow, { isRetained } from './retained-windows.js';
import type { WindowCounts } from './types.js';

/** What a counter needs. */
export interface UsageCounterOptions {
  /** Gives true time, in milliseconds since 1970. */
  trueTime: Clock;
  windowMs: Millis;
  /** The count of an organisation rose. */
  onCounted(window: number, organisation: string): void;
}

/** The sums of this process so far. */
export default class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();

  constructor(private readonly options: UsageCounterOptions) {}

  /** A target began a request now. */
  count(organisation: string): void {
    const { onCounted } = this.options;
    const window = this.readPresent();
    const counts = this.windows.get(window) ?? this.open(window);
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    onCounted(window, organisation);
  }

  /** The sum of one organisation in one window. */
  getCount(window: number, organisation: string): number {
    return this.windows.get(window)?.get(organisation) ?? 0;
  }

  /** Everything that is of use. */
  listWindows(): WindowCounts[] {
    const present = this.readPresent();
    return [...this.windows]
      .filter(([window]) => isRetained(window, present))
      .map(([window, counts]) => ({ window, counts: [...counts] }));
  }

  private open(window: number): Map<string, number> {
    const counts = new Map<string, number>();
    addWindow(this.windows, window, counts, window);
    return counts;
  }

  private readPresent(): number {
    const { trueTime, windowMs } = this.options;
    return Math.floor(trueTime.now() / windowMs);
  }
}
