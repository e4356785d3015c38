/**
 * What sends to the versions of a service brought, as sums that only grow. Sums of
 * several VMs can be added; of two states of one sum the larger is the later one.
 */
import type { Millis } from '@limelead/types';

/** Each bucket of times ends this much later than the one before: fine enough to see a doubling. */
const BUCKET_RATIO = 1.25;
/** The last bucket begins at about a minute, longer than any answer may take. */
const BUCKET_COUNT = 51;

/** Sums of one version on one route. */
export interface RouteOutcomeCounts {
  route: string;
  /** True for the version under trial, false for those in force beside it. */
  isTrial: boolean;
  good: number;
  bad: number;
  /** Bucket numbers and good answers whose time fell there; empty buckets are left out. */
  times: [bucket: number, answers: number][];
}

/** How one send ended. */
export interface AttemptOutcome {
  route: string;
  isTrial: boolean;
  isGood: boolean;
  /** Undefined where the time says nothing of the version, as at a target that warms up. */
  afterMs?: Millis;
}

/** The same with a place for each bucket, to count with. */
export interface OutcomeCounts {
  good: number;
  bad: number;
  times: number[];
}

/** Sums without any answer. */
export function createCounts(): OutcomeCounts {
  return { good: 0, bad: 0, times: new Array<number>(BUCKET_COUNT).fill(0) };
}

/** The bucket of a time. */
export function bucketForTime(afterMs: Millis): number {
  const bucket = Math.floor(Math.log(Math.max(1, afterMs)) / Math.log(BUCKET_RATIO));
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/** Buckets by which a time lies higher that is so many times as long. */
export function bucketsForFactor(factor: number): number {
  return Math.round(Math.log(factor) / Math.log(BUCKET_RATIO));
}

/** The bucket below which this part (0 to 1) of the times lies; undefined without any. */
export function findQuantileBucket({ times }: OutcomeCounts, part: number): number | undefined {
  const all = countTimes(times);
  let below = 0;
  for (const [bucket, answers] of times.entries()) {
    below += answers;
    if (all > 0 && below >= part * all) {
      return bucket;
    }
  }
  return undefined;
}

/** Number of times in the buckets from the given one on. */
export function countTimes(times: readonly number[], from = 0): number {
  return times.slice(from).reduce((sum, answers) => sum + answers, 0);
}

/** Adds sums of one route to others. */
export function addCounts(
  sums: OutcomeCounts,
  { good, bad, times }: Omit<RouteOutcomeCounts, 'route' | 'isTrial'>,
): void {
  sums.good += good;
  sums.bad += bad;
  for (const [bucket, answers] of times) {
    sums.times[bucket] = (sums.times[bucket] ?? 0) + answers;
  }
}

/** Counts the sends of one VM. */
export class OutcomeCounter {
  private readonly byKey = new Map<
    string,
    { route: string; isTrial: boolean; sums: OutcomeCounts }
  >();

  /** A send ended. */
  record({ route, isTrial, isGood, afterMs }: AttemptOutcome): void {
    const { sums } = this.at(route, isTrial);
    if (!isGood) {
      sums.bad += 1;
      return;
    }
    sums.good += 1;
    if (afterMs !== undefined) {
      const bucket = bucketForTime(afterMs);
      sums.times[bucket] = (sums.times[bucket] ?? 0) + 1;
    }
  }

  /** Adds what another counter read. */
  add(routes: readonly RouteOutcomeCounts[]): void {
    routes.forEach((sums) => addCounts(this.at(sums.route, sums.isTrial).sums, sums));
  }

  /** All sums, as they are sent to peers. */
  snapshot(): RouteOutcomeCounts[] {
    return [...this.byKey.values()].map(({ route, isTrial, sums }) => ({
      route,
      isTrial,
      good: sums.good,
      bad: sums.bad,
      times: sums.times.flatMap((answers, bucket): [number, number][] =>
        answers > 0 ? [[bucket, answers]] : [],
      ),
    }));
  }

  private at(route: string, isTrial: boolean) {
    const key = `${isTrial} ${route}`;
    const known = this.byKey.get(key) ?? { route, isTrial, sums: createCounts() };
    this.byKey.set(key, known);
    return known;
  }
}

/** Answers that sums count. */
export function countAnswers(routes: readonly RouteOutcomeCounts[], isTrial?: boolean): number {
  return routes
    .filter((sums) => isTrial === undefined || sums.isTrial === isTrial)
    .reduce((count, { good, bad }) => count + good + bad, 0);
}
