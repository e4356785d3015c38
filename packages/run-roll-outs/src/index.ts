/** Gradual roll-outs: moves traffic of a service to a new version and rolls back a bad one. */
export { default as RollOutController } from './roll-out-controller.js';
export type {
  EndedAttempt,
  RollOutSnapshot,
  RollOutControllerOptions,
  TargetGroups,
  TargetUsage,
} from './roll-out-controller.js';
export { EVIDENCE_TTL_SHARE } from './version-trial.js';
export { decodeStep, STEP_KEY_PREFIX } from './step-item.js';
export { default as StepWriter, type StateItem, type StepWriterOptions } from './step-writer.js';
export type {
  AgreedStep,
  AggregatedEvidence,
  RollOutBounds,
  RollOutState,
  RollOutStep,
  StoredOrder,
  VmEvidence,
} from './types.js';
