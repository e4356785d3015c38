/** Moves the traffic of a service to another version, or back, and writes what became of it. */
export { default as RollOutController } from './roll-out-controller.js';
export type {
  EndedAttempt as EndedSend,
  RollOutSnapshot as RollOutKnowledge,
  RollOutControllerOptions as RollOutsOptions,
  TargetGroups,
  TargetUsage as TargetInUse,
} from './roll-out-controller.js';
export { EVIDENCE_TTL_SHARE as HEARD_PART } from './version-trial.js';
export { decodeStep as readStep, STEP_KEY_PREFIX as STEP_KEYS } from './step-item.js';
export { default as StepWriter, type StateItem, type StepWriterOptions } from './step-writer.js';
export type {
  AgreedStep,
  AggregatedEvidence as GatheredEvidence,
  RollOutBounds,
  RollOutState,
  RollOutStep,
  StoredOrder as StandingOrder,
  VmEvidence,
} from './types.js';
