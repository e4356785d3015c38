/** Back pressure that targets signal in the headers of their responses. */
export { default as Backpressure, type HeldRequest } from './backpressure.js';
export type { BrittleUpdate } from './brittle-targets.js';
export type { LeavingUpdate } from './leaving-table.js';
export { default as readDirectives } from './read-directives.js';
export {
  default as refuseDuringCooldown,
  findEarliestCooldownEnd,
  type CooldownRefusal,
  type TargetCooldown,
} from './refuse-during-cooldown.js';
export type { FollowedLoad } from './load-reader.js';
export { SLOW_START_MS } from './slow-start.js';
