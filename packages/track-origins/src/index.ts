/** Tracks which software version began each stream. */
export { default as OriginTracker, type OriginTrackerOptions } from './origin-tracker.js';
export type { OriginStore } from './origin-store.js';
