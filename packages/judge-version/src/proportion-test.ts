/** Compares the parts of bad answers of late, once there are enough of them. */
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

/** Answers of the version under trial below which nothing is said. */
const MIN_ANSWERS = 20;
/** Standard errors between the two parts from which on the version is bad. */
const MIN_STANDARD_ERRORS = 4;
/** Least rise of the part of bad answers that counts. */
const MIN_INCREASE = 0.1;

/** Judges one route. */
export default class ProportionTest implements RouteTest {
  private readonly late: OutcomeCounts = createCounts();

  evaluate({ fresh, baseline, decayFactor }: RouteSample): BadVersionCause | undefined {
    this.late.good = this.late.good * decayFactor + fresh.good;
    this.late.bad = this.late.bad * decayFactor + fresh.bad;
    fresh.times.forEach((answers, bucket) => {
      this.late.times[bucket] = (this.late.times[bucket] ?? 0) * decayFactor + answers;
    });
    if (isHigher(failureProportion(this.late), failureProportion(baseline))) {
      return 'failures';
    }
    const slow = findSlowBucket(baseline);
    return slow !== undefined &&
      isHigher(slowProportion(this.late, slow), slowProportion(baseline, slow))
      ? 'times'
      : undefined;
  }
}

function isHigher(trial: Proportion, inForce: Proportion): boolean {
  if (trial.trials < MIN_ANSWERS || inForce.trials < MIN_ANSWERS) {
    return false;
  }
  const rise = trial.events / trial.trials - inForce.events / inForce.trials;
  const pooled = (trial.events + inForce.events) / (trial.trials + inForce.trials);
  const error = Math.sqrt(pooled * (1 - pooled) * (1 / trial.trials + 1 / inForce.trials));
  return rise > MIN_INCREASE && rise > MIN_STANDARD_ERRORS * error;
}
