/** Tracks which software version began each stream. */
export { default as OriginTracker, type OriginTrackerOptions } from './origin-tracker.js';
export { VERSION_TTL_MS } from './version-history.js';
export type { RecordedVersions } from './recorded-versions.js';
export type { OriginStore } from './origin-store.js';
