/** Common interface and measures of the tests that judge a version on one route. */
import {
  countTimes,
  findQuantileBucket,
  bucketsForFactor,
  type OutcomeCounts,
} from './outcome-counts.js';

/** Reason why a version is bad: failures or slow answers. */
export type BadVersionCause = 'failures' | 'times';

/** Input of one evaluation of a route. */
export interface RouteSample {
  /** New outcomes of the version under trial since the last evaluation. */
  fresh: OutcomeCounts;
  /** Recent outcomes of the active versions. */
  baseline: OutcomeCounts;
  /** Factor by which older outcomes count, 0 to 1. */
  decayFactor: number;
}

/** Judges one route from successive samples. */
export interface RouteTest {
  /** Returns the cause if the version is bad. */
  evaluate(sample: RouteSample): BadVersionCause | undefined;
}

/** Quantile of the baseline's answer times from which the limit for slow answers is derived. */
const BASE_QUANTILE = 0.75;
/**
 * Answers this many times slower than the quantile are slow; more than the spread between targets
 * of one version.
 */
const SLOW_FACTOR = 2.2;

/** Returns the first bucket of slow answers; undefined if the baseline has no recent answers. */
export function findSlowBucket(baseline: OutcomeCounts): number | undefined {
  const quantile = findQuantileBucket(baseline, BASE_QUANTILE);
  return quantile === undefined ? undefined : quantile + bucketsForFactor(SLOW_FACTOR);
}

/** Events out of trials, such as failures out of answers. */
export interface Proportion {
  events: number;
  trials: number;
}

/** Returns the failures among all answers. */
export function failureProportion({ good, bad }: OutcomeCounts): Proportion {
  return { events: bad, trials: good + bad };
}

/** Returns the slow answers among the good ones. */
export function slowProportion({ times }: OutcomeCounts, slowBucket: number): Proportion {
  return { events: countTimes(times, slowBucket), trials: countTimes(times) };
}
