/** Limits that targets name on the requests of all VMs together. */
export { default as TargetLimits } from './target-limits.js';
export type { TargetLimitsOptions } from './target-limits.js';
