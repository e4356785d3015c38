/** Permanent claims by compare-and-swap, so that a call that is not repeatable runs at most once. */
export { default as createCallClaimer } from './call-claimer.js';
export type { CallClaimer, ClaimOutcome, CallIdentity } from './call-claimer.js';
