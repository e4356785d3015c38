/**
 * Counts reported by all VMs, including VMs that have gone. VMs report totals, so the largest count
 * of each incarnation is right despite lost, repeated or reordered reports.
 */
import type { Clock, Millis } from '@limelead/types';
import addWindow, { isRetained } from './retained-windows.js';
import type { WindowCounts } from './types.js';

/** Counts by incarnation of the reporting VM, then by organisation. */
type WindowTable = Map<string, Map<string, number>>;

/** Dependencies of the table. */
export interface UsageTableOptions {
  /** True time in milliseconds since 1970. */
  trueTime: Clock;
  windowMs: Millis;
}

/** Adds up the counts of all VMs. */
export default class UsageTable {
  private readonly windows = new Map<number, WindowTable>();
  /**
   * First window counted from its start, by incarnation, for incarnations with a retained window.
   */
  private readonly countedFromByIncarnation = new Map<string, number>();

  constructor(private readonly options: UsageTableOptions) {}

  /** The first window that any VM counted from its start; undefined without reports. */
  get countedFrom(): number | undefined {
    return this.countedFromByIncarnation.size === 0
      ? undefined
      : Math.min(...this.countedFromByIncarnation.values());
  }

  /**
   * Records the totals of a VM; windows that are not retained are ignored.
   * @param countedFrom first window that the VM counted from its start, as reported now; a VM whose
   * clock was wrong at its start corrects it later
   */
  recordCounts(incarnation: string, reported: readonly WindowCounts[], countedFrom: number): void {
    const current = this.currentWindow();
    for (const { window, counts } of reported.filter((report) =>
      isRetained(report.window, current),
    )) {
      const table = this.windows.get(window) ?? this.addTable(window, current);
      const largest = table.get(incarnation) ?? new Map<string, number>();
      table.set(incarnation, largest);
      this.countedFromByIncarnation.set(incarnation, countedFrom);
      for (const [organisation, requests] of counts) {
        largest.set(organisation, Math.max(requests, largest.get(organisation) ?? 0));
      }
    }
  }

  /** Returns the requests of each organisation in one window. */
  sum(window: number): Map<string, number> {
    const totals = new Map<string, number>();
    for (const counts of this.windows.get(window)?.values() ?? []) {
      for (const [organisation, requests] of counts) {
        totals.set(organisation, (totals.get(organisation) ?? 0) + requests);
      }
    }
    return totals;
  }

  /** Returns the number of VMs that reported one window. */
  countReportingVms(window: number): number {
    return this.windows.get(window)?.size ?? 0;
  }

  private addTable(window: number, current: number): WindowTable {
    const table: WindowTable = new Map();
    addWindow(this.windows, window, table, current);
    this.removeUnreported();
    return table;
  }

  private removeUnreported(): void {
    const reporting = new Set([...this.windows.values()].flatMap((table) => [...table.keys()]));
    for (const incarnation of [...this.countedFromByIncarnation.keys()]) {
      if (!reporting.has(incarnation)) {
        this.countedFromByIncarnation.delete(incarnation);
      }
    }
  }

  private currentWindow(): number {
    const { trueTime, windowMs } = this.options;
    return Math.floor(trueTime.now() / windowMs);
  }
}
