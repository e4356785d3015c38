/** True time from the clocks of many VMs, some of which jump. */
export { default as TimeEstimator, type TimeEstimatorOptions } from './time-estimator.js';
