/** Tracks which software version began each stream. */
export { default as OriginTracker, type OriginTrackerOptions } from './origin-tracker.js';
export { VERSION_TTL_MS } from './version-history.js';
export type { VersionRecordReader } from './version-record-reader.js';
export type { OriginStore } from './origin-store.js';
