/** Counts the requests of each organisation by window, settles them once and reports them once. */
export type { SkippedWindows } from './plan-windows.js';
export type { WindowCounts } from './types.js';
export { default as UsageBook } from './usage-book.js';
export { default as UsageCounter, type UsageCounterOptions } from './usage-counter.js';
export { default as UsageRecord, type KnownRecord, type SettledWindow } from './usage-record.js';
export {
  default as UsageReporter,
  type UsageEvents,
  type UsageReporterOptions,
} from './usage-reporter.js';
export { default as UsageTeller, type UsageListener } from './usage-teller.js';
