/** Counts the requests that targets started for callers of this VM, by window and organisation. */
import type { Clock, Millis } from '@limelead/types';
import addWindow, { isRetained } from './retained-windows.js';
import type { WindowCounts } from './types.js';

/** Dependencies of a counter. */
export interface UsageCounterOptions {
  /** True time in milliseconds since 1970. */
  trueTime: Clock;
  windowMs: Millis;
  /** Called when the count of an organisation increased. */
  onCounted(window: number, organisation: string): void;
}

/** Counts of this process so far. */
export default class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();

  constructor(private readonly options: UsageCounterOptions) {}

  /** Counts a request that a target starts now. */
  count(organisation: string): void {
    const { onCounted } = this.options;
    const window = this.currentWindow();
    const counts = this.windows.get(window) ?? this.addCounts(window);
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    onCounted(window, organisation);
  }

  /** Returns the count of one organisation in one window. */
  getCount(window: number, organisation: string): number {
    return this.windows.get(window)?.get(organisation) ?? 0;
  }

  /** Returns the counts of all windows that are still retained. */
  listWindows(): WindowCounts[] {
    const current = this.currentWindow();
    return [...this.windows]
      .filter(([window]) => isRetained(window, current))
      .map(([window, counts]) => ({ window, counts: [...counts] }));
  }

  private addCounts(window: number): Map<string, number> {
    const counts = new Map<string, number>();
    addWindow(this.windows, window, counts, window);
    return counts;
  }

  private currentWindow(): number {
    const { trueTime, windowMs } = this.options;
    return Math.floor(trueTime.now() / windowMs);
  }
}
