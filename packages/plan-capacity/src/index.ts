/**
 * Plans how many plain and spot targets each failure domain needs for a load; free of side effects.
 */
export { forecastByMeanAndDeviation, forecastByQuantile, type Forecast } from './forecast.js';
export {
  default as limitScaleDown,
  SCALE_DOWN_DELAY_MS,
  type ScaleDownState,
} from './limit-scale-down.js';
export {
  default as estimateTargetNeed,
  targetsForUtilization,
  type ServiceLoad,
  type TargetNeed,
  type TargetPerformance,
} from './needed-targets.js';
export { default as planDomains, targetPrices } from './plan-domains.js';
export type {
  CapacityPlan,
  CapacityPolicy,
  CapacityInputs,
  LossCoverage,
  PlannedDomain,
  TargetCounts,
} from './types.js';
