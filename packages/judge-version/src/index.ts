/** Pure verdict on a version of a service from what its sends brought, beside the version in force. */
export { default as EvidenceBook } from './evidence-book.js';
export { default as ProportionTest } from './proportion-test.js';
export { default as SequentialTest } from './sequential-test.js';
export { default as VersionJudge, type BadVerdict } from './version-judge.js';
export type { BadCause, RouteLook, RouteTest } from './route-test.js';
export { countAnswers, SendSums, type RouteSums, type SendOutcome } from './sums.js';
