/**
 * Judges a version under trial on each route by comparison with the active versions, because a
 * service may regularly fail a share of its calls.
 */
import type { Millis } from '@limelead/types';
import type { BadVersionCause, RouteTest } from './route-test.js';
import SequentialTest from './sequential-test.js';
import {
  addCounts,
  createCounts,
  type RouteOutcomeCounts,
  type OutcomeCounts,
} from './outcome-counts.js';

/** Time after which a baseline answer counts half. */
const HALF_LIFE_MS = 10_000;
/** Minimum number of baseline answers for a comparison. */
const MIN_BASELINE_ANSWERS = 20;

/** Reason why a version is bad and the counts that support it. */
export interface BadVersionVerdict {
  cause: BadVersionCause;
  route: string;
  /** Answers of the version under trial on that route so far. */
  good: number;
  bad: number;
}

interface RouteState {
  test: RouteTest;
  /** Counts at the last evaluation. */
  seen: Record<'trial' | 'active', OutcomeCounts>;
  /** Recent outcomes of the active versions; older answers count less. */
  baseline: OutcomeCounts;
  /** Outcomes of the version under trial that are not yet compared. */
  fresh: OutcomeCounts;
}

export default class VersionJudge {
  private readonly routes = new Map<string, RouteState>();
  private evaluatedAtMs: Millis | undefined;

  constructor(private readonly createTest: () => RouteTest = () => new SequentialTest()) {}

  /**
   * Evaluates counts that have grown since the last call. Returns a verdict if the version is bad.
   */
  evaluate(now: Millis, counts: readonly RouteOutcomeCounts[]): BadVersionVerdict | undefined {
    const decayFactor = 0.5 ** ((now - (this.evaluatedAtMs ?? now)) / HALF_LIFE_MS);
    this.evaluatedAtMs = now;
    const byRoute = new Map<string, RouteOutcomeCounts[]>();
    for (const entry of counts) {
      byRoute.set(entry.route, [...(byRoute.get(entry.route) ?? []), entry]);
    }
    return [...byRoute]
      .map(([route, entries]) => this.evaluateRoute(route, entries, decayFactor))
      .find((verdict) => verdict !== undefined);
  }

  private evaluateRoute(
    route: string,
    entries: RouteOutcomeCounts[],
    decayFactor: number,
  ): BadVersionVerdict | undefined {
    const state = this.getState(route);
    const active = toCounts(entries.filter(({ isTrial }) => !isTrial));
    const trial = toCounts(entries.filter(({ isTrial }) => isTrial));
    const activeGrowth = takeGrowth(state.seen.active, active);
    // Without new baseline answers the last ones stay the basis of comparison.
    const decay = activeGrowth.good + activeGrowth.bad > 0 ? decayFactor : 1;
    state.baseline = combine(state.baseline, activeGrowth, decay);
    state.fresh = combine(state.fresh, takeGrowth(state.seen.trial, trial), 1);
    if (state.baseline.good + state.baseline.bad < MIN_BASELINE_ANSWERS) {
      return undefined;
    }
    const { fresh, baseline } = state;
    state.fresh = createCounts();
    const cause = state.test.evaluate({ fresh, baseline, decayFactor });
    return cause && { cause, route, good: trial.good, bad: trial.bad };
  }

  private getState(route: string): RouteState {
    const known = this.routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const state: RouteState = {
      test: this.createTest(),
      seen: { trial: createCounts(), active: createCounts() },
      baseline: createCounts(),
      fresh: createCounts(),
    };
    this.routes.set(route, state);
    return state;
  }
}

function toCounts(entries: RouteOutcomeCounts[]): OutcomeCounts {
  const counts = createCounts();
  entries.forEach((entry) => addCounts(counts, entry));
  return counts;
}

/** Returns the growth since the last evaluation; counts lower than those seen give none. */
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

function combine(older: OutcomeCounts, fresh: OutcomeCounts, decayFactor: number): OutcomeCounts {
  return {
    good: older.good * decayFactor + fresh.good,
    bad: older.bad * decayFactor + fresh.bad,
    times: older.times.map((answers, bucket) => answers * decayFactor + (fresh.times[bucket] ?? 0)),
  };
}
