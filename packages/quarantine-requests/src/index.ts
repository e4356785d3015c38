/** Finds requests that end the targets that run them, and keeps them from further ones. */
export { default as RequestGuard, type RequestGuardOptions } from './request-guard.js';
export { default as GuardedRequest } from './guarded-request.js';
export { default as createLoneGuard } from './lone-guard.js';
export { QUARANTINE_MS, type Quarantine, type Strike } from './case-book.js';
export { composeNews, isEmptyNews, type GuardNews } from './news.js';
export {
  default as identifyRequest,
  type IdentifiedRequest,
  type RequestIdentity,
} from './identify-request.js';
