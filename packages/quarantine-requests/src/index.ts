/** Finds requests that end the targets that run them, and keeps them from further ones. */
export { default as RequestGuard, type RequestGuardOptions } from './request-guard.js';
export { default as GuardedRequest } from './guarded-request.js';
export type { default as GuardedRun } from './guarded-run.js';
export { default as createIsolatedGuard } from './isolated-guard.js';
export type { TargetState } from './crash-evidence.js';
export { QUARANTINE_MS } from './crash-table.js';
export type { CrashRecord, Quarantine } from './crash-record.js';
export {
  createQuarantineUpdate,
  isEmptyQuarantineUpdate,
  type QuarantineUpdate,
} from './quarantine-update.js';
export {
  default as identifyRequest,
  type IdentifiedRequest,
  type RequestIdentity,
} from './identify-request.js';
