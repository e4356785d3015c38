/** Admission control: limits of organisations and of the VM, deadlines and shedding by priority. */
export { default as createAdmissionController } from './admission-controller.js';
export type {
  AdmissionController,
  AdmissionLimits,
  AdmissionRequest,
  AdmissionTicket,
} from './admission-controller.js';
export { default as computeLimitShare, type PeerDemand } from './compute-limit-share.js';
