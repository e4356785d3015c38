/** Tracks demand and orders targets by the capacity plan while this VM holds the duty. */
export {
  default as CapacityController,
  type CapacityControllerOptions,
} from './capacity-controller.js';
export {
  default as DemandTracker,
  type DemandReport,
  type ServiceDemand,
} from './demand-tracker.js';
export {
  capacityCodec,
  DEFAULT_CAPACITY,
  withCapacityDefaults,
  type CapacitySettings,
} from './settings.js';
