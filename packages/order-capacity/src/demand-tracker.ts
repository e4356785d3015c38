/**
 * Tracks the demand for each service per second over all VMs. VMs report totals since their start,
 * so lost or repeated reports change nothing.
 */
import type { Millis } from '@limelead/types';

/** Demand for one service as reported by one VM. */
export interface ServiceDemand {
  service: string;
  /** Requests admitted and their prompt tokens; totals so far. */
  arrived: number;
  promptTokens: number;
  /** Requests running at targets, and requests waiting; current values. */
  running: number;
  waiting: number;
  /** Prompt tokens of started runs and milliseconds until their first pieces; totals so far. */
  begunTokens: number;
  begunMs: number;
}

/** Demand report of one VM. */
export interface DemandReport {
  /** Id of the process; totals restart with each process. */
  incarnation: string;
  services: readonly ServiceDemand[];
}

/** Estimated load of one service. */
export interface DemandEstimate {
  /** Seconds since the first reported request. */
  observedSeconds: number;
  /** Prompt tokens that arrived in each of the last seconds, oldest first. */
  tokensBySecond: readonly number[];
  /** Average over the last seconds. */
  runsPerSecond: number;
  tokensPerRun: number;
  /** Runs in progress and waiting now. */
  runs: number;
  /** Best recent prefill time per prompt token; undefined if too few runs started. */
  prefillMsPerToken?: number;
}

const SECOND_MS = 1_000;
/** Seconds of load used for forecasts; longer than the swings of the load of users, 11 s. */
export const FORECAST_WINDOW_SECONDS = 15;
/** Seconds searched for the best prefill time; long enough to include a time of low load. */
const PREFILL_WINDOW_SECONDS = 60;
/** Minimum number of runs to average a prefill time over. */
const MIN_PREFILL_RUNS = 8;
/** Time without a report after which a VM's runs are no longer counted. */
const REPORT_TIMEOUT_MS = 3_000;
/**
 * Time without a report after which a VM is removed. Until then the load of the others is scaled up
 * in its place, so that lost reports do not scale down.
 */
const VM_EXPIRY_MS = 15_000;
/** Maximum factor for scaling up the load of the other VMs. */
const MAX_SCALE_FACTOR = 2;

interface LastReport {
  incarnation: string;
  atMs: Millis;
  services: Map<string, ServiceDemand>;
}

/** Interval between two reports; requests are spread evenly over it. */
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

/** Collects demand reports and estimates the load. */
export default class DemandTracker {
  private readonly lastReports = new Map<string, LastReport>();
  private readonly histories = new Map<string, ServiceHistory>();

  /** Records a report of a VM. */
  recordReport(vm: string, { incarnation, services }: DemandReport, now: Millis): void {
    const before = this.lastReports.get(vm);
    const isSame = before?.incarnation === incarnation;
    const known = isSame ? before.services : new Map<string, ServiceDemand>();
    for (const demand of services) {
      this.add(demand, known.get(demand.service), {
        sinceMs: isSame ? before.atMs : now,
        untilMs: now,
      });
      known.set(demand.service, demand);
    }
    this.lastReports.set(vm, { incarnation, atMs: now, services: known });
  }

  /** Returns the estimated load; undefined before any request of the service. */
  estimate(service: string, now: Millis): DemandEstimate | undefined {
    const history = this.histories.get(service);
    if (history === undefined) {
      return undefined;
    }
    this.removeExpired(now);
    const last = Math.floor(now / SECOND_MS) - 1;
    const recent = history.seconds.filter(
      ({ second }) => second <= last && second > last - FORECAST_WINDOW_SECONDS,
    );
    const observedSeconds = Math.max(0, last - history.firstSecond + 1);
    const tokens = sum(recent, 'tokens');
    const arrived = sum(recent, 'arrived');
    const factor = this.silentVmFactor(now);
    return {
      observedSeconds,
      tokensBySecond: listSeconds(
        recent,
        last,
        Math.min(observedSeconds, FORECAST_WINDOW_SECONDS),
      ).map((load) => load * factor),
      runsPerSecond:
        (arrived * factor) / Math.max(1, Math.min(observedSeconds, FORECAST_WINDOW_SECONDS)),
      tokensPerRun: tokens / Math.max(1, arrived),
      runs: this.countRuns(service, now) * factor,
      prefillMsPerToken: bestPrefillMsPerToken(
        history.seconds.filter(({ second }) => second > last - PREFILL_WINDOW_SECONDS),
      ),
    };
  }

  private add(
    demand: ServiceDemand,
    known: ServiceDemand | undefined,
    interval: ReportInterval,
  ): void {
    // Requests from before a VM's first report do not count towards this second.
    const since = known ?? demand;
    if (demand.arrived === 0) {
      return;
    }
    const last = Math.floor(interval.untilMs / SECOND_MS);
    const first = Math.max(
      Math.floor(interval.sinceMs / SECOND_MS) + 1,
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
    const history = this.histories.get(service) ?? { firstSecond: number, seconds: [] };
    this.histories.set(service, history);
    history.firstSecond = Math.min(history.firstSecond, number);
    const known = history.seconds.findLast(({ second }) => second === number);
    if (known !== undefined) {
      return known;
    }
    const second = { second: number, arrived: 0, tokens: 0, begun: 0, begunTokens: 0, begunMs: 0 };
    const later = history.seconds.filter((other) => other.second > number);
    const earlier = history.seconds.slice(0, history.seconds.length - later.length);
    history.seconds = [...earlier, second, ...later].slice(-PREFILL_WINDOW_SECONDS);
    return second;
  }

  private countRuns(service: string, now: Millis): number {
    let runs = 0;
    for (const { atMs, services } of this.lastReports.values()) {
      const demand = services.get(service);
      if (demand !== undefined && now - atMs < REPORT_TIMEOUT_MS) {
        runs += demand.running + demand.waiting;
      }
    }
    return runs;
  }

  private silentVmFactor(now: Millis): number {
    const reporting = [...this.lastReports.values()].filter(
      ({ atMs }) => now - atMs < REPORT_TIMEOUT_MS,
    ).length;
    return Math.min(MAX_SCALE_FACTOR, this.lastReports.size / Math.max(1, reporting));
  }

  private removeExpired(now: Millis): void {
    for (const [vm, { atMs }] of this.lastReports) {
      if (now - atMs >= VM_EXPIRY_MS) {
        this.lastReports.delete(vm);
      }
    }
  }
}

function sum(seconds: readonly SecondTotals[], key: 'tokens' | 'arrived'): number {
  return seconds.reduce((total, second) => total + second[key], 0);
}

/** Lists the tokens of each second, with 0 for seconds without any. */
function listSeconds(seconds: readonly SecondTotals[], last: number, length: number): number[] {
  const bySecond = new Map(seconds.map(({ second, tokens }) => [second, tokens]));
  return Array.from({ length }, (_, index) => bySecond.get(last - length + 1 + index) ?? 0);
}

/**
 * Returns the best mean prefill time over enough runs. Queued runs take longer than the target
 * needs, so the best mean is closest to its real speed.
 */
function bestPrefillMsPerToken(seconds: readonly SecondTotals[]): number | undefined {
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
