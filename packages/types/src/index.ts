/** Types and small helpers that several packages share. */
export * from './address.js';
export * from './advice.js';
export { backoffMs, type BackoffBounds } from './backoff.js';
export * from './configuration.js';
export * from './directives.js';
export * from './engine.js';
export * from './events.js';
export * from './generation.js';
export * from './origins.js';
export { hashText, mixHashes } from './hash.js';
export * from './demand.js';
export * from './permits.js';
export * from './places.js';
export * from './retries.js';
export * from './serving.js';
export * from './targets.js';
export * from './time.js';
export { default as RecentTimes } from './recent-times.js';
