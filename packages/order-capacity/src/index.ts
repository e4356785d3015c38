/** Reads demand, and orders targets by the plan while this VM holds the duty. */
export { default as CapacityDuty, type CapacityDutyOptions } from './capacity-duty.js';
export { default as DemandBook, type DemandReport, type ServiceDemand } from './demand-book.js';
export {
  capacityCodec,
  DEFAULT_CAPACITY,
  readCapacity,
  type CapacitySettings,
} from './settings.js';
