/**
 * Sequential probability ratio test that restarts whenever the version looks like the baseline, so
 * that a version that turns bad late is found as quickly as one that is bad from the start.
 */
import {
  findSlowBucket,
  failureProportion,
  slowProportion,
  type BadVersionCause,
  type Proportion,
  type RouteSample,
  type RouteTest,
} from './route-test.js';

/** Increase of the share of bad answers to detect; callers hardly notice smaller ones. */
const MIN_INCREASE = 0.15;
/** A bad version has at least this many times the baseline's share of bad answers. */
const MIN_INCREASE_FACTOR = 2.2;
/** Limits on rates, so that a single answer never decides. */
const MIN_RATE = 0.02;
const MAX_RATE = 0.9;
/** Log-likelihood ratio of bad against good at which the version is bad. */
const MIN_LOG_LIKELIHOOD_RATIO = 8;
/**
 * Standard errors added to the baseline's rate, so that few answers do not give a low rate by
 * chance.
 */
const BASELINE_MARGIN = 1;

/** Judges one route by a sequential test. */
export default class SequentialTest implements RouteTest {
  private readonly logRatios: Record<BadVersionCause, number> = { failures: 0, times: 0 };

  evaluate({ fresh, baseline }: RouteSample): BadVersionCause | undefined {
    this.add('failures', failureProportion(fresh), failureProportion(baseline));
    const slowBucket = findSlowBucket(baseline);
    if (slowBucket !== undefined) {
      this.add('times', slowProportion(fresh, slowBucket), slowProportion(baseline, slowBucket));
    }
    return (['failures', 'times'] as const).find(
      (cause) => this.logRatios[cause] >= MIN_LOG_LIKELIHOOD_RATIO,
    );
  }

  private add(cause: BadVersionCause, { events, trials }: Proportion, baseline: Proportion): void {
    const good = clamp(upperBaselineRate(baseline));
    const bad = clamp(Math.max(good * MIN_INCREASE_FACTOR, good + MIN_INCREASE));
    const logRatio =
      events * Math.log(bad / good) + (trials - events) * Math.log((1 - bad) / (1 - good));
    this.logRatios[cause] = Math.max(0, this.logRatios[cause] + logRatio);
  }
}

function upperBaselineRate({ events, trials }: Proportion): number {
  const rate = (events + 1) / (trials + 2);
  return rate + BASELINE_MARGIN * Math.sqrt((rate * (1 - rate)) / (trials + 2));
}

function clamp(rate: number): number {
  return Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
}
