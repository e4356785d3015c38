/** Open-loop load: arrivals from a mix file, latencies from the scheduled start. */
export { default as runLoad, type LoadOptions } from './run-load.js';
export { default as planArrivals, type Arrival } from './plan-arrivals.js';
export { decodeMix, type Mix, type MixKind } from './mix.js';
export type { KindSummary, LoadSummary, Quantiles } from './summary.js';
