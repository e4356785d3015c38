/** Small stand-ins for external systems, with switches for their faults. */
export { default as startEngine } from './engine/start-engine.js';
export type { Engine, EngineOptions } from './engine/start-engine.js';
export type { GenerationRecord } from './engine/batch.js';
export { answerLength, tokenAt, type TokenSource } from './engine/tokens.js';
export { default as startPlainService, type PlainServiceStandIn } from './plain-service.js';
export { default as startPlatform, type Platform, type PlatformOptions } from './platform.js';
export { default as createKeyValueState, type KeyValueState } from './key-value-state.js';
export { default as createLaggedVmList, type LaggedVmList } from './lagged-vm-list.js';
export { default as createInProcessStore, type StoreFaults } from './in-process-store.js';
export { default as createManualTime, flushPromises, type ManualTime } from './manual-time.js';
export { default as SeededDraws } from './seeded-draws.js';
export { default as runStandIns, type StandInsPlan } from './run-stand-ins.js';
