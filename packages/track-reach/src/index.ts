/** Tracks which services this VM can connect to. */
export { default as HeldLosses } from './held-losses.js';
export { default as isOutOfReach, type ConnectEvidence } from './is-out-of-reach.js';
export { default as ReachTracker, type ReachTrackerOptions } from './reach-tracker.js';
