/** True time from the clocks of many VMs, some of which jump. */
export { default as TimeEstimate, type TimeEstimateOptions } from './time-estimate.js';
