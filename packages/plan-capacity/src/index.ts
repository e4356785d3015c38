/** Pure plan of how many targets each failure domain should have, plain and spot, for a demand. */
export { forecastByLevelAndSwing, forecastByQuantile, type Forecast } from './forecast.js';
export { default as limitFall, NEED_COUNTS_MS, type FallState } from './limit-fall.js';
export {
  default as estimateNeed,
  targetsAt,
  type ServiceLoad,
  type TargetNeed,
  type TargetPace,
} from './needed-targets.js';
export { default as planDomains, pricesOf } from './plan-domains.js';
export type {
  CapacityPlan,
  CapacityPolicy,
  CapacityQuestion,
  Cover,
  PlannedDomain,
  TargetCounts,
} from './types.js';
