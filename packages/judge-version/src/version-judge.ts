/**
 * The verdict on a version under trial, route by route beside the versions in force. A
 * service may fail a part of its calls on a plain day, so nothing absolute is asked.
 */
import type { Millis } from '@limelead/types';
import type { BadVersionCause, RouteTest } from './route-test.js';
import SequentialTest from './sequential-test.js';
import { addCounts, createCounts, type RouteOutcomeCounts, type OutcomeCounts } from './outcome-counts.js';

/** Time after which an answer counts half: long enough for samples, short beside an incident. */
const HALF_LIFE_MS = 10_000;
/** Answers in force that a comparison needs; without them nothing is judged yet. */
const MIN_BASELINE_ANSWERS = 20;

/** Why a version is bad, with what the verdict rests on. */
export interface BadVersionVerdict {
  cause: BadVersionCause;
  route: string;
  /** Answers of the version under trial on that route so far. */
  good: number;
  bad: number;
}

interface RouteState {
  test: RouteTest;
  /** Sums at the last look. */
  seen: Record<'trial' | 'force', OutcomeCounts>;
  /** What was in force lately; older answers count less. */
  baseline: OutcomeCounts;
  /** What the version under trial brought and nothing was there to compare with. */
  fresh: OutcomeCounts;
}

/** Judges one version. */
export default class VersionJudge {
  private readonly routes = new Map<string, RouteState>();
  private lookedAtMs: Millis | undefined;

  constructor(private readonly createTest: () => RouteTest = () => new SequentialTest()) {}

  /** Looks at sums that have grown since the last look; gives the verdict where it is bad. */
  evaluate(now: Millis, sums: readonly RouteOutcomeCounts[]): BadVersionVerdict | undefined {
    const kept = 0.5 ** ((now - (this.lookedAtMs ?? now)) / HALF_LIFE_MS);
    this.lookedAtMs = now;
    const byRoute = new Map<string, RouteOutcomeCounts[]>();
    for (const entry of sums) {
      byRoute.set(entry.route, [...(byRoute.get(entry.route) ?? []), entry]);
    }
    return [...byRoute]
      .map(([route, entries]) => this.lookAt(route, entries, kept))
      .find((verdict) => verdict !== undefined);
  }

  private lookAt(
    route: string,
    entries: RouteOutcomeCounts[],
    kept: number,
  ): BadVersionVerdict | undefined {
    const state = this.stateOf(route);
    const force = toSums(entries.filter(({ isTrial }) => !isTrial));
    const trial = toSums(entries.filter(({ isTrial }) => isTrial));
    const forceGrowth = takeGrowth(state.seen.force, force);
    // Without new answers in force the last ones stay what the trial is compared with.
    const decay = forceGrowth.good + forceGrowth.bad > 0 ? kept : 1;
    state.baseline = combine(state.baseline, forceGrowth, decay);
    state.fresh = combine(state.fresh, takeGrowth(state.seen.trial, trial), 1);
    if (state.baseline.good + state.baseline.bad < MIN_BASELINE_ANSWERS) {
      return undefined;
    }
    const { fresh, baseline } = state;
    state.fresh = createCounts();
    const cause = state.test.evaluate({ fresh, baseline, decayFactor: kept });
    return cause && { cause, route, good: trial.good, bad: trial.bad };
  }

  private stateOf(route: string): RouteState {
    const known = this.routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const state: RouteState = {
      test: this.createTest(),
      seen: { trial: createCounts(), force: createCounts() },
      baseline: createCounts(),
      fresh: createCounts(),
    };
    this.routes.set(route, state);
    return state;
  }
}

function toSums(entries: RouteOutcomeCounts[]): OutcomeCounts {
  const sums = createCounts();
  entries.forEach((entry) => addCounts(sums, entry));
  return sums;
}

/** What came since the last look; sums of another source that knows less give nothing. */
function takeGrowth(seen: OutcomeCounts, now: OutcomeCounts): OutcomeCounts {
  const growth = {
    good: Math.max(0, now.good - seen.good),
    bad: Math.max(0, now.bad - seen.bad),
    times: now.times.map((answers, bucket) => Math.max(0, answers - (seen.times[bucket] ?? 0))),
  };
  seen.good = Math.max(now.good, seen.good);
  seen.bad = Math.max(now.bad, seen.bad);
  seen.times = now.times.map((answers, bucket) => Math.max(answers, seen.times[bucket] ?? 0));
  return growth;
}

function combine(older: OutcomeCounts, fresh: OutcomeCounts, kept: number): OutcomeCounts {
  return {
    good: older.good * kept + fresh.good,
    bad: older.bad * kept + fresh.bad,
    times: older.times.map((answers, bucket) => answers * kept + (fresh.times[bucket] ?? 0)),
  };
}
