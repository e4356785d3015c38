/** Keeps the sends of all VMs to a target within the rate limit that the target advertises. */
export { default as SendLimiter } from './send-limiter.js';
export type { SendLimiterOptions } from './send-limiter.js';
export type { LimitFleet, PermitTargets } from './permit-ports.js';
export type { LimitUpdate } from './limit-table.js';
export type { AskPermits, GivePermits, PermitMessage, ReturnPermit } from './permit-messages.js';
