/**
 * What callers of all VMs ask of each service, second by second. VMs tell sums since they
 * started, so that a report that is lost or repeated changes nothing.
 */
import type { Millis } from '@limelead/types';

/** What one VM tells of one service. */
export interface ServiceDemand {
  service: string;
  /** Requests that were admitted, and the tokens of their prompts; sums so far. */
  arrived: number;
  promptTokens: number;
  /** Requests that targets have begun and not ended, and those that wait; now. */
  running: number;
  waiting: number;
  /** Prompt tokens of runs that were begun, and milliseconds until their first pieces; sums so far. */
  begunTokens: number;
  begunMs: number;
}

/** What one VM tells. */
export interface DemandReport {
  /** Names the process; sums begin anew with each. */
  incarnation: string;
  services: readonly ServiceDemand[];
}

/** What is known of a service's load. */
export interface DemandEstimate {
  /** Seconds since the first request that was told. */
  observedSeconds: number;
  /** Prompt tokens that arrived in each of the last seconds, oldest first. */
  tokensBySecond: readonly number[];
  /** Over the last seconds. */
  runsPerSecond: number;
  tokensPerRun: number;
  /** Runs under way and waiting now. */
  runs: number;
  /** Least time for a token of a prompt that targets lately took; undefined where too few were begun. */
  prefillMsPerToken?: number;
}

const SECOND_MS = 1_000;
/** Seconds of load that forecasts look at: longer than the swings of the users' load, 11 s. */
export const FORECAST_WINDOW_SECONDS = 15;
/** Seconds in which targets' best time for a token is looked for: long enough to hold a calm one. */
const PREFILL_WINDOW_SECONDS = 60;
/** Runs that a mean time for a token is taken over, at least; fewer are chance. */
const MIN_PREFILL_RUNS = 8;
/** A VM that told nothing for this long has no runs any more, in milliseconds: three reports. */
const REPORT_TIMEOUT_MS = 3_000;
/**
 * A VM that is silent longer is gone, and its callers came back elsewhere, in milliseconds.
 * Until then the others' load is taken to be its too, so that lost reports shrink nothing.
 */
const VM_EXPIRY_MS = 15_000;
/** The others' load is raised to this many times at most. */
const MAX_SCALE_FACTOR = 2;

interface LastReport {
  incarnation: string;
  atMs: Millis;
  services: Map<string, ServiceDemand>;
}

/** Time between two reports; what arrived is taken to have come evenly in it. */
interface ReportInterval {
  sinceMs: Millis;
  untilMs: Millis;
}

interface SecondTotals {
  second: number;
  arrived: number;
  tokens: number;
  begun: number;
  begunTokens: number;
  begunMs: number;
}

interface ServiceHistory {
  firstSecond: number;
  seconds: SecondTotals[];
}

/** Holds what was told. */
export default class DemandTracker {
  private readonly told = new Map<string, LastReport>();
  private readonly books = new Map<string, ServiceHistory>();

  /** Takes what a VM tells. */
  recordReport(vm: string, { incarnation, services }: DemandReport, now: Millis): void {
    const before = this.told.get(vm);
    const isSame = before?.incarnation === incarnation;
    const known = isSame ? before.services : new Map<string, ServiceDemand>();
    for (const demand of services) {
      this.add(demand, known.get(demand.service), {
        sinceMs: isSame ? before.atMs : now,
        untilMs: now,
      });
      known.set(demand.service, demand);
    }
    this.told.set(vm, { incarnation, atMs: now, services: known });
  }

  /** Undefined where no request of the service was told. */
  estimate(service: string, now: Millis): DemandEstimate | undefined {
    const book = this.books.get(service);
    if (book === undefined) {
      return undefined;
    }
    this.forget(now);
    const last = Math.floor(now / SECOND_MS) - 1;
    const lately = book.seconds.filter(
      ({ second }) => second <= last && second > last - FORECAST_WINDOW_SECONDS,
    );
    const seenSeconds = Math.max(0, last - book.firstSecond + 1);
    const tokens = sum(lately, 'tokens');
    const arrived = sum(lately, 'arrived');
    const raise = this.raiseForSilent(now);
    return {
      observedSeconds: seenSeconds,
      tokensBySecond: listSeconds(lately, last, Math.min(seenSeconds, FORECAST_WINDOW_SECONDS)).map(
        (load) => load * raise,
      ),
      runsPerSecond:
        (arrived * raise) / Math.max(1, Math.min(seenSeconds, FORECAST_WINDOW_SECONDS)),
      tokensPerRun: tokens / Math.max(1, arrived),
      runs: this.countRuns(service, now) * raise,
      prefillMsPerToken: bestPace(
        book.seconds.filter(({ second }) => second > last - PREFILL_WINDOW_SECONDS),
      ),
    };
  }

  private add(demand: ServiceDemand, known: ServiceDemand | undefined, told: ReportInterval): void {
    // What a VM did before it first told is no load of this second.
    const since = known ?? demand;
    if (demand.arrived === 0) {
      return;
    }
    const last = Math.floor(told.untilMs / SECOND_MS);
    const first = Math.max(
      Math.floor(told.sinceMs / SECOND_MS) + 1,
      last - FORECAST_WINDOW_SECONDS + 1,
    );
    const seconds = Math.max(1, last - first + 1);
    for (let number = Math.min(first, last); number <= last; number += 1) {
      const second = this.secondAt(demand.service, number);
      second.arrived += (demand.arrived - since.arrived) / seconds;
      second.tokens += (demand.promptTokens - since.promptTokens) / seconds;
    }
    const second = this.secondAt(demand.service, last);
    second.begun += demand.begunTokens > since.begunTokens ? 1 : 0;
    second.begunTokens += demand.begunTokens - since.begunTokens;
    second.begunMs += demand.begunMs - since.begunMs;
  }

  private secondAt(service: string, number: number): SecondTotals {
    const book = this.books.get(service) ?? { firstSecond: number, seconds: [] };
    this.books.set(service, book);
    book.firstSecond = Math.min(book.firstSecond, number);
    const known = book.seconds.findLast(({ second }) => second === number);
    if (known !== undefined) {
      return known;
    }
    const second = { second: number, arrived: 0, tokens: 0, begun: 0, begunTokens: 0, begunMs: 0 };
    const later = book.seconds.filter((other) => other.second > number);
    const earlier = book.seconds.slice(0, book.seconds.length - later.length);
    book.seconds = [...earlier, second, ...later].slice(-PREFILL_WINDOW_SECONDS);
    return second;
  }

  private countRuns(service: string, now: Millis): number {
    let runs = 0;
    for (const { atMs, services } of this.told.values()) {
      const demand = services.get(service);
      if (demand !== undefined && now - atMs < REPORT_TIMEOUT_MS) {
        runs += demand.running + demand.waiting;
      }
    }
    return runs;
  }

  private raiseForSilent(now: Millis): number {
    const heard = [...this.told.values()].filter(
      ({ atMs }) => now - atMs < REPORT_TIMEOUT_MS,
    ).length;
    return Math.min(MAX_SCALE_FACTOR, this.told.size / Math.max(1, heard));
  }

  private forget(now: Millis): void {
    for (const [vm, { atMs }] of this.told) {
      if (now - atMs >= VM_EXPIRY_MS) {
        this.told.delete(vm);
      }
    }
  }
}

function sum(seconds: readonly SecondTotals[], key: 'tokens' | 'arrived'): number {
  return seconds.reduce((total, second) => total + second[key], 0);
}

/** Seconds in which nothing arrived stand as 0. */
function listSeconds(seconds: readonly SecondTotals[], last: number, length: number): number[] {
  const bySecond = new Map(seconds.map(({ second, tokens }) => [second, tokens]));
  return Array.from({ length }, (_, index) => bySecond.get(last - length + 1 + index) ?? 0);
}

/**
 * Runs that wait beside others take longer than the target reads, so the best mean of enough
 * runs is nearest to what a target can do.
 */
function bestPace(seconds: readonly SecondTotals[]): number | undefined {
  let best: number | undefined;
  let group = { begun: 0, tokens: 0, ms: 0 };
  for (const { begun, begunTokens, begunMs } of seconds) {
    group = {
      begun: group.begun + begun,
      tokens: group.tokens + begunTokens,
      ms: group.ms + begunMs,
    };
    if (group.begun >= MIN_PREFILL_RUNS && group.tokens > 0) {
      best = Math.min(best ?? Infinity, group.ms / group.tokens);
      group = { begun: 0, tokens: 0, ms: 0 };
    }
  }
  return best;
}
