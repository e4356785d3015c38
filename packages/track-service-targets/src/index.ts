/** Targets of all services, with the load of this VM and its peers and the observed health. */
export { default as TargetDirectory } from './target-directory.js';
export type {
  LossCause,
  TargetChange,
  TargetDirectoryEvents,
  TargetLoss,
  TargetNotice,
  TrackedServiceTarget,
} from './tracked-target.js';
export type {
  AdvisedRequest,
  ReportedTargetLoad,
  PeerLoad,
  PeerLoadUpdate,
} from './peer-load-table.js';
export {
  isSuspected,
  INITIAL_HEALTH,
  applyObservation,
  getFailureRate,
  getSlowness,
} from './target-health.js';
export { default as getPresentPace } from './present-pace.js';
export type { HeldRun, ReportedMemory } from './held-tokens.js';
export type { TargetHealth, TargetObservation } from './target-health.js';
export type { PeerProbeAnswer } from './probe-answer-table.js';
export type { PieceMeter } from './target-pace.js';
