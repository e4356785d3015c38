/** Admission: organisations' limits, the VM's own limit, deadlines and shedding by priority. */
export { default as createAdmission } from './admission.js';
export type { Admission, AdmissionLimits, AdmissionRequest, Ticket } from './admission.js';
export { default as computeShare, type DemandReport } from './compute-share.js';
