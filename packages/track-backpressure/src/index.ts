/** Backpressure that targets signal in the headers of their answers. */
export { default as Backpressure, type HeldRequest } from './backpressure.js';
export type { LeavingFact } from './leaving-book.js';
export { default as readDirectives } from './read-directives.js';
export {
  default as refuseCooling,
  findFirstEnd,
  type CoolingRefusal,
  type TargetCooldown,
} from './refuse-cooling.js';
export { SLOW_START_MS } from './slow-start.js';
