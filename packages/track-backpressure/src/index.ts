/** Backpressure that targets signal in the headers of their answers. */
export {
  default as Backpressure,
  type BackpressureOptions,
  type HeldRequest,
} from './backpressure.js';
export type { LeavingFact } from './leaving-book.js';
export {
  default as refuseCooling,
  findFirstEnd,
  type CoolingRefusal,
  type TargetCooldown,
} from './refuse-cooling.js';
export { SLOW_START_MS } from './slow-start.js';
export { default as parseRateLimit } from './parse-rate-limit.js';
export { default as parseRetryAfter } from './parse-retry-after.js';
export {
  default as readDirectives,
  type DirectiveHead,
  type DirectiveHeaders,
} from './read-directives.js';
