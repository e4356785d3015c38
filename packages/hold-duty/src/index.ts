/** A duty that one VM at a time holds by a lease, with a fencing token. */
export {
  default as ConditionalStoreLease,
  type ConditionalStoreLeaseOptions,
} from './conditional-store-lease.js';
export { default as DutyElector, type DutyElectorOptions } from './duty-elector.js';
export type { Duty, DutyPermit } from './duty.js';
export { default as LeasedDuty, type DutyLoss, type LeasedDutyOptions } from './leased-duty.js';
export { default as KeyValueLease, type KeyValueLeaseOptions } from './key-value-lease.js';
export type { DutyLease, LeaseAnswer } from './duty-lease.js';
export type { DutyStep } from './plan-step.js';
