/** Compares the recent shares of bad answers once there are enough answers. */
import {
  findSlowBucket,
  failureProportion,
  slowProportion,
  type BadVersionCause,
  type Proportion,
  type RouteSample,
  type RouteTest,
} from './route-test.js';
import { createCounts, type OutcomeCounts } from './outcome-counts.js';

/** Minimum number of answers on each side of a comparison. */
const MIN_ANSWERS = 20;
/** Difference between the shares, in standard errors, at which the version is bad. */
const MIN_STANDARD_ERRORS = 4;
/** Minimum increase of the share of bad answers. */
const MIN_INCREASE = 0.1;

/** Judges one route by a two-proportion test. */
export default class ProportionTest implements RouteTest {
  private readonly recent: OutcomeCounts = createCounts();

  evaluate({ fresh, baseline, decayFactor }: RouteSample): BadVersionCause | undefined {
    this.recent.good = this.recent.good * decayFactor + fresh.good;
    this.recent.bad = this.recent.bad * decayFactor + fresh.bad;
    fresh.times.forEach((answers, bucket) => {
      this.recent.times[bucket] = (this.recent.times[bucket] ?? 0) * decayFactor + answers;
    });
    if (isHigher(failureProportion(this.recent), failureProportion(baseline))) {
      return 'failures';
    }
    const slow = findSlowBucket(baseline);
    return slow !== undefined &&
      isHigher(slowProportion(this.recent, slow), slowProportion(baseline, slow))
      ? 'times'
      : undefined;
  }
}

function isHigher(trial: Proportion, inForce: Proportion): boolean {
  if (trial.trials < MIN_ANSWERS || inForce.trials < MIN_ANSWERS) {
    return false;
  }
  const increase = trial.events / trial.trials - inForce.events / inForce.trials;
  const pooled = (trial.events + inForce.events) / (trial.trials + inForce.trials);
  const error = Math.sqrt(pooled * (1 - pooled) * (1 / trial.trials + 1 / inForce.trials));
  return increase > MIN_INCREASE && increase > MIN_STANDARD_ERRORS * error;
}
