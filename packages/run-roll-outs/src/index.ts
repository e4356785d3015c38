/** Moves the traffic of a service to another version, or back, and writes what became of it. */
export { default as RollOuts } from './roll-outs.js';
export type {
  EndedSend,
  RollOutKnowledge,
  RollOutsOptions,
  TargetGroups,
  TargetInUse,
} from './roll-outs.js';
export { HEARD_PART } from './version-trial.js';
export { readStep, STEP_KEYS } from './step-item.js';
export { default as StepWriter, type StateItem, type StepWriterOptions } from './step-writer.js';
export type {
  AgreedStep,
  GatheredEvidence,
  RollOutBounds,
  RollOutState,
  RollOutStep,
  StandingOrder,
  VmEvidence,
} from './types.js';
