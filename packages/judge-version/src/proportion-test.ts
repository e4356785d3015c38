/** Compares the parts of bad answers of late, once there are enough of them. */
import {
  findSlowBucket,
  readFailures,
  readSlow,
  type BadCause,
  type Proportion,
  type RouteLook,
  type RouteTest,
} from './route-test.js';
import { createSums, type Sums } from './sums.js';

/** Answers of the version under trial below which nothing is said. */
const LEAST_ANSWERS = 20;
/** Standard errors between the two parts from which on the version is bad. */
const BAD_AT = 4;
/** Least rise of the part of bad answers that counts. */
const LEAST_RISE = 0.1;

/** Judges one route. */
export default class ProportionTest implements RouteTest {
  private readonly late: Sums = createSums();

  take({ fresh, baseline, kept }: RouteLook): BadCause | undefined {
    this.late.good = this.late.good * kept + fresh.good;
    this.late.bad = this.late.bad * kept + fresh.bad;
    fresh.times.forEach((answers, bucket) => {
      this.late.times[bucket] = (this.late.times[bucket] ?? 0) * kept + answers;
    });
    if (isHigher(readFailures(this.late), readFailures(baseline))) {
      return 'failures';
    }
    const slow = findSlowBucket(baseline);
    return slow !== undefined && isHigher(readSlow(this.late, slow), readSlow(baseline, slow))
      ? 'times'
      : undefined;
  }
}

function isHigher(trial: Proportion, inForce: Proportion): boolean {
  if (trial.trials < LEAST_ANSWERS || inForce.trials < LEAST_ANSWERS) {
    return false;
  }
  const rise = trial.events / trial.trials - inForce.events / inForce.trials;
  const pooled = (trial.events + inForce.events) / (trial.trials + inForce.trials);
  const error = Math.sqrt(pooled * (1 - pooled) * (1 / trial.trials + 1 / inForce.trials));
  return rise > LEAST_RISE && rise > BAD_AT * error;
}
