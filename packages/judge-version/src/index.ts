/** Pure verdict on a version of a service from what its sends brought, beside the version in force. */
export { default as EvidenceTable } from './evidence-table.js';
export { default as ProportionTest } from './proportion-test.js';
export { default as SequentialTest } from './sequential-test.js';
export { default as VersionJudge, type BadVersionVerdict as BadVerdict } from './version-judge.js';
export type {
  BadVersionCause as BadCause,
  RouteSample as RouteLook,
  RouteTest,
} from './route-test.js';
export {
  countAnswers,
  OutcomeCounter as SendSums,
  type RouteOutcomeCounts as RouteSums,
  type AttemptOutcome as SendOutcome,
} from './outcome-counts.js';
