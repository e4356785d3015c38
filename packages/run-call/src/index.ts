/** Runs calls to plain services; those that are not repeatable only under a claim, and once. */
export { default as createCallRunner } from './call-runner.js';
export type { CallRunnerDependencies, CallRequest, CallResult, CallRunner } from './call-runner.js';
export type { RecordedOutcome } from './call-outcome-table.js';
