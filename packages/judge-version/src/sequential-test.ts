/**
 * A sequential probability ratio test that begins anew whenever the version looks like
 * the one in force: a version that turns bad late is found as soon as one that was bad
 * from the start.
 */
import {
  findSlowBucket,
  readFailures,
  readSlow,
  type BadCause,
  type Proportion,
  type RouteLook,
  type RouteTest,
} from './route-test.js';

/** Least rise of the part of bad answers that is looked for; smaller ones callers hardly notice. */
const RISE = 0.15;
/** A bad version has at least this many times the bad answers of the one in force. */
const RISE_FACTOR = 2.2;
/** Rates nearer to 0 or 1 would let a single answer decide. */
const LEAST_RATE = 0.02;
const MOST_RATE = 0.9;
/**
 * Logarithm of how many times likelier a bad version has to be than a good one. The
 * table of `docs/design/06-roll-outs.md` says what it costs and what it brings.
 */
const BAD_AT = 8;
/** Added to a rate of few answers in force, as standard errors, so that chance makes no low rate. */
const CAUTION = 1;

/** Judges one route. */
export default class SequentialTest implements RouteTest {
  private readonly ratios: Record<BadCause, number> = { failures: 0, times: 0 };

  take({ fresh, baseline }: RouteLook): BadCause | undefined {
    this.add('failures', readFailures(fresh), readFailures(baseline));
    const slowBucket = findSlowBucket(baseline);
    if (slowBucket !== undefined) {
      this.add('times', readSlow(fresh, slowBucket), readSlow(baseline, slowBucket));
    }
    return (['failures', 'times'] as const).find((cause) => this.ratios[cause] >= BAD_AT);
  }

  private add(cause: BadCause, { events, trials }: Proportion, inForce: Proportion): void {
    const good = clamp(readCautiousRate(inForce));
    const bad = clamp(Math.max(good * RISE_FACTOR, good + RISE));
    const ratio =
      events * Math.log(bad / good) + (trials - events) * Math.log((1 - bad) / (1 - good));
    this.ratios[cause] = Math.max(0, this.ratios[cause] + ratio);
  }
}

function readCautiousRate({ events, trials }: Proportion): number {
  const rate = (events + 1) / (trials + 2);
  return rate + CAUTION * Math.sqrt((rate * (1 - rate)) / (trials + 2));
}

function clamp(rate: number): number {
  return Math.min(MOST_RATE, Math.max(LEAST_RATE, rate));
}
