/** What the ways to judge a version on one route have in common. */
import { countTimes, findQuantileBucket, bucketsForFactor, type OutcomeCounts } from './outcome-counts.js';

/** Why a version is bad. */
export type BadVersionCause = 'failures' | 'times';

/** What one look at a route has to go by. */
export interface RouteSample {
  /** What the version under trial brought since the last look. */
  fresh: OutcomeCounts;
  /** What the versions in force brought lately. */
  baseline: OutcomeCounts;
  /** Part of what was known at the last look that still counts, 0 to 1. */
  decayFactor: number;
}

/** Judges one route, look by look. */
export interface RouteTest {
  /** Gives the cause where the version is bad. */
  evaluate(look: RouteSample): BadVersionCause | undefined;
}

/** Part of the answers in force that are quicker than the bound of slow ones is derived from. */
const BASE_QUANTILE = 0.75;
/**
 * Answers this many times as long as the quantile are slow: bad versions answer several
 * times slower, and the spread between targets of one version is below a doubling.
 */
const SLOW_FACTOR = 2.2;

/** First bucket of slow answers; undefined where nothing in force answered lately. */
export function findSlowBucket(baseline: OutcomeCounts): number | undefined {
  const quantile = findQuantileBucket(baseline, BASE_QUANTILE);
  return quantile === undefined ? undefined : quantile + bucketsForFactor(SLOW_FACTOR);
}

/** Events out of trials, such as failures out of answers. */
export interface Proportion {
  events: number;
  trials: number;
}

/** Failures among the answers. */
export function failureProportion({ good, bad }: OutcomeCounts): Proportion {
  return { events: bad, trials: good + bad };
}

/** Slow answers among the good ones. */
export function slowProportion({ times }: OutcomeCounts, slowBucket: number): Proportion {
  return { events: countTimes(times, slowBucket), trials: countTimes(times) };
}
