/** Estimates the true time from the clocks of many VMs, some of which may be wrong. */
export { default as TimeEstimator, type TimeEstimatorOptions } from './time-estimator.js';
