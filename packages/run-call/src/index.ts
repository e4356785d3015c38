/** Runs calls to plain services; those that are not repeatable only under a claim, and once. */
export { default as createCallRunner } from './call-runner.js';
export type { CallDependencies, CallRequest, CallResult, CallRunner } from './call-runner.js';
export type { RememberedCall } from './call-records.js';
