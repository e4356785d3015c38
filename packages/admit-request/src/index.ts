/** Admission control: limits of organisations and of the VM, deadlines and shedding by priority. */
export { default as createAdmissionController } from './admission-controller.js';
export type {
  AdmissionController,
  AdmissionLimits,
  AdmissionRequest,
  AdmissionTicket,
} from './admission-controller.js';
export { default as computeLimitShare, type PeerDemand } from './compute-limit-share.js';
export {
  default as FairShares,
  type ExceededShare,
  type FairSharesOptions,
} from './fair-shares.js';
export { default as RepeatDetector } from './repeat-detector.js';
export { default as ReportedShares, type ReportedSharesOptions } from './reported-shares.js';
export { compareShareRanks, EQUAL_SHARES, type ShareOrder, type ShareRank } from './share-order.js';
