/** Runs calls to plain services; non-repeatable calls run under a claim, at most once. */
export { default as createCallRunner } from './call-runner.js';
export type { CallRunnerDependencies, CallRequest, CallResult, CallRunner } from './call-runner.js';
export type { RecordedOutcome } from './call-outcome-table.js';
