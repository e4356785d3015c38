/**
 * Counts outcomes of attempts by route and version. Counts only grow: those of several VMs can be
 * added, and of two snapshots of one counter the larger is the later one.
 */
import type { Millis } from '@limelead/types';

/** Ratio between the limits of successive time buckets, in which answer times are counted. */
const BUCKET_RATIO = 1.25;
/** Number of buckets; the last one starts at about a minute. */
const BUCKET_COUNT = 51;

/** Outcome counts of one version on one route, as sent to peers. */
export interface RouteOutcomeCounts {
  route: string;
  /** True for the version under trial, false for the active versions. */
  isTrial: boolean;
  good: number;
  bad: number;
  /** Bucket numbers with the count of good answers in each; empty buckets are left out. */
  times: [bucket: number, answers: number][];
}

/** Outcome of one attempt. */
export interface AttemptOutcome {
  route: string;
  isTrial: boolean;
  isGood: boolean;
  /**
   * Time from sending to the outcome; undefined if it does not reflect the version, as at a target
   * that warms up.
   */
  afterMs?: Millis;
}

/** Outcome counts with an element for each time bucket. */
export interface OutcomeCounts {
  good: number;
  bad: number;
  times: number[];
}

/** Creates empty counts. */
export function createCounts(): OutcomeCounts {
  return { good: 0, bad: 0, times: new Array<number>(BUCKET_COUNT).fill(0) };
}

/** Returns the bucket for a time. */
export function bucketForTime(afterMs: Millis): number {
  const bucket = Math.floor(Math.log(Math.max(1, afterMs)) / Math.log(BUCKET_RATIO));
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/** Returns the number of buckets between a time and its multiple by the factor. */
export function bucketsForFactor(factor: number): number {
  return Math.round(Math.log(factor) / Math.log(BUCKET_RATIO));
}

/** Returns the bucket that contains this quantile (0 to 1); undefined without any time. */
export function findQuantileBucket({ times }: OutcomeCounts, quantile: number): number | undefined {
  const all = countTimes(times);
  let below = 0;
  for (const [bucket, answers] of times.entries()) {
    below += answers;
    if (all > 0 && below >= quantile * all) {
      return bucket;
    }
  }
  return undefined;
}

/** Returns the number of times in the given bucket and all later ones. */
export function countTimes(times: readonly number[], from = 0): number {
  return times.slice(from).reduce((sum, answers) => sum + answers, 0);
}

/** Adds counts of one route to others. */
export function addCounts(
  counts: OutcomeCounts,
  { good, bad, times }: Omit<RouteOutcomeCounts, 'route' | 'isTrial'>,
): void {
  counts.good += good;
  counts.bad += bad;
  for (const [bucket, answers] of times) {
    counts.times[bucket] = (counts.times[bucket] ?? 0) + answers;
  }
}

/** Counts the outcomes of one VM's attempts. */
export class OutcomeCounter {
  private readonly byKey = new Map<
    string,
    { route: string; isTrial: boolean; counts: OutcomeCounts }
  >();

  /** Records the outcome of an attempt. */
  record({ route, isTrial, isGood, afterMs }: AttemptOutcome): void {
    const { counts } = this.at(route, isTrial);
    if (!isGood) {
      counts.bad += 1;
      return;
    }
    counts.good += 1;
    if (afterMs !== undefined) {
      const bucket = bucketForTime(afterMs);
      counts.times[bucket] = (counts.times[bucket] ?? 0) + 1;
    }
  }

  /** Adds a snapshot of another counter. */
  add(routes: readonly RouteOutcomeCounts[]): void {
    routes.forEach((counts) => addCounts(this.at(counts.route, counts.isTrial).counts, counts));
  }

  /** Returns all counts in the form that is sent to peers. */
  snapshot(): RouteOutcomeCounts[] {
    return [...this.byKey.values()].map(({ route, isTrial, counts }) => ({
      route,
      isTrial,
      good: counts.good,
      bad: counts.bad,
      times: counts.times.flatMap((answers, bucket): [number, number][] =>
        answers > 0 ? [[bucket, answers]] : [],
      ),
    }));
  }

  private at(route: string, isTrial: boolean) {
    const key = `${isTrial} ${route}`;
    const known = this.byKey.get(key) ?? { route, isTrial, counts: createCounts() };
    this.byKey.set(key, known);
    return known;
  }
}

/** Returns the number of answers in the counts. */
export function countAnswers(routes: readonly RouteOutcomeCounts[], isTrial?: boolean): number {
  return routes
    .filter((counts) => isTrial === undefined || counts.isTrial === isTrial)
    .reduce((count, { good, bad }) => count + good + bad, 0);
}
