/** The targets of every service with this VM's work on them and its evidence about them. */
export { default as TargetDirectory } from './target-directory.js';
export type {
  LossCause,
  TargetChange,
  TargetDirectoryEvents,
  TargetLoss,
  TargetNotice,
  TrackedServiceTarget,
} from './tracked-target.js';
export type { AdvisedRequest, PacedLoad, PeerLoad, ToldLoad } from './peer-loads.js';
export {
  isSuspected,
  NO_EVIDENCE,
  observeTarget,
  readFailureRate,
  readSlowness,
} from './evidence.js';
export type { TargetEvidence, TargetObservation } from './evidence.js';
