/**
 * Judges a version of a service by its outcomes, compared with the active versions; free of side
 * effects.
 */
export { default as EvidenceTable } from './evidence-table.js';
export { default as ProportionTest } from './proportion-test.js';
export { default as SequentialTest } from './sequential-test.js';
export { default as VersionJudge, type BadVersionVerdict } from './version-judge.js';
export type { BadVersionCause, RouteSample, RouteTest } from './route-test.js';
export {
  countAnswers,
  OutcomeCounter,
  type RouteOutcomeCounts,
  type AttemptOutcome,
} from './outcome-counts.js';
