/** What the ways to judge a version on one route have in common. */
import { countTimes, readQuantile, bucketsOf, type Sums } from './sums.js';

/** Why a version is bad. */
export type BadCause = 'failures' | 'times';

/** What one look at a route has to go by. */
export interface RouteLook {
  /** What the version under trial brought since the last look. */
  fresh: Sums;
  /** What the versions in force brought lately. */
  baseline: Sums;
  /** Part of what was known at the last look that still counts, 0 to 1. */
  kept: number;
}

/** Judges one route, look by look. */
export interface RouteTest {
  /** Gives the cause where the version is bad. */
  take(look: RouteLook): BadCause | undefined;
}

/** Part of the answers in force that are quicker than the bound of slow ones is derived from. */
const BASE_QUANTILE = 0.75;
/**
 * Answers this many times as long as the quantile are slow: bad versions answer several
 * times slower, and the spread between targets of one version is below a doubling.
 */
const SLOW_FACTOR = 2.2;

/** First bucket of slow answers; undefined where nothing in force answered lately. */
export function findSlowBucket(baseline: Sums): number | undefined {
  const quantile = readQuantile(baseline, BASE_QUANTILE);
  return quantile === undefined ? undefined : quantile + bucketsOf(SLOW_FACTOR);
}

/** Events out of trials, such as failures out of answers. */
export interface Proportion {
  events: number;
  trials: number;
}

/** Failures among the answers. */
export function readFailures({ good, bad }: Sums): Proportion {
  return { events: bad, trials: good + bad };
}

/** Slow answers among the good ones. */
export function readSlow({ times }: Sums, slowBucket: number): Proportion {
  return { events: countTimes(times, slowBucket), trials: countTimes(times) };
}
