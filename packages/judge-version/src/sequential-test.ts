/**
 * A sequential probability ratio test that begins anew whenever the version looks like
 * the one in force: a version that turns bad late is found as soon as one that was bad
 * from the start.
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

/** Least rise of the part of bad answers that is looked for; smaller ones callers hardly notice. */
const MIN_INCREASE = 0.15;
/** A bad version has at least this many times the bad answers of the one in force. */
const MIN_INCREASE_FACTOR = 2.2;
/** Rates nearer to 0 or 1 would let a single answer decide. */
const MIN_RATE = 0.02;
const MAX_RATE = 0.9;
/**
 * Logarithm of how many times likelier a bad version has to be than a good one. The
 * table of `docs/design/06-roll-outs.md` says what it costs and what it brings.
 */
const MIN_LOG_LIKELIHOOD_RATIO = 8;
/** Added to a rate of few answers in force, as standard errors, so that chance makes no low rate. */
const BASELINE_MARGIN = 1;

/** Judges one route. */
export default class SequentialTest implements RouteTest {
  private readonly ratios: Record<BadVersionCause, number> = { failures: 0, times: 0 };

  evaluate({ fresh, baseline }: RouteSample): BadVersionCause | undefined {
    this.add('failures', failureProportion(fresh), failureProportion(baseline));
    const slowBucket = findSlowBucket(baseline);
    if (slowBucket !== undefined) {
      this.add('times', slowProportion(fresh, slowBucket), slowProportion(baseline, slowBucket));
    }
    return (['failures', 'times'] as const).find(
      (cause) => this.ratios[cause] >= MIN_LOG_LIKELIHOOD_RATIO,
    );
  }

  private add(cause: BadVersionCause, { events, trials }: Proportion, inForce: Proportion): void {
    const good = clamp(readCautiousRate(inForce));
    const bad = clamp(Math.max(good * MIN_INCREASE_FACTOR, good + MIN_INCREASE));
    const ratio =
      events * Math.log(bad / good) + (trials - events) * Math.log((1 - bad) / (1 - good));
    this.ratios[cause] = Math.max(0, this.ratios[cause] + ratio);
  }
}

function readCautiousRate({ events, trials }: Proportion): number {
  const rate = (events + 1) / (trials + 2);
  return rate + BASELINE_MARGIN * Math.sqrt((rate * (1 - rate)) / (trials + 2));
}

function clamp(rate: number): number {
  return Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
}
