/** Permanent claims by compare-and-swap, so that a non-repeatable call runs at most once. */
export { default as createCallClaimer } from './call-claimer.js';
export type { CallClaimer, ClaimOutcome, CallIdentity } from './call-claimer.js';
