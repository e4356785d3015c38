/**
 * Counts the requests of each organisation by time window, and reports each window exactly once.
 */
export type { SkippedWindows } from './plan-windows.js';
export type { WindowCounts } from './types.js';
export { default as UsageTable, type UsageTableOptions } from './usage-table.js';
export { default as UsageCounter, type UsageCounterOptions } from './usage-counter.js';
export { default as UsageRecord, type StoredUsage, type SettledWindow } from './usage-record.js';
export {
  default as UsageReporter,
  type UsageEvents,
  type UsageReporterOptions,
} from './usage-reporter.js';
export { default as UsagePublisher, type UsageSubscriber } from './usage-publisher.js';
