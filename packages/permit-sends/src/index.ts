/** Keeps the sends of all VMs to a target within the rate that the target named. */
export { default as SendPermits } from './send-permits.js';
export type { SendPermitsOptions } from './send-permits.js';
export type { LimitFleet, PermitTargets } from './permit-ports.js';
export type { LimitFact } from './limit-book.js';
export type { AskPermits, GivePermits, PermitMessage, ReturnPermit } from './permit-messages.js';
