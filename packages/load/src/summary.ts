/** Summarises the outcomes that callers observed, by kind of request. */
import { build, type Histogram } from 'hdr-histogram-js';

const MAX_RECORDED_MS = 3_600_000;

/** Quantiles in milliseconds. */
export interface Quantiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Outcome of one request. */
export interface LoadOutcome {
  kind: string;
  /** Measured from the scheduled start; undefined if no token arrived. */
  firstTokenMs?: number;
  totalMs: number;
  gapsMs: number[];
  resumeLatenciesMs: number[];
  tokens: number;
  /** Kind of the error; undefined if the answer was complete. */
  error?: string;
  missedDeadline: boolean;
}

/** Counts and latencies of one kind of request. */
export interface KindSummary {
  sent: number;
  whole: number;
  missedDeadlines: number;
  errors: Record<string, number>;
  tokens: number;
  firstTokenMs: Quantiles;
  tokenGapMs: Quantiles;
  totalMs: Quantiles;
  resumeLatencyMs: Quantiles;
}

/** Counts, rates and latencies of a load. */
export interface LoadSummary {
  durationMs: number;
  /** Tokens per second of complete answers within the deadline. */
  goodTokensPerSecond: number;
  /** Complete answers and calls per second within the deadline. */
  goodRequestsPerSecond: number;
  all: KindSummary;
  kinds: Record<string, KindSummary>;
}

/** Summarises outcomes, in total and by kind. */
export default function summarize(outcomes: LoadOutcome[], durationMs: number): LoadSummary {
  const names = [...new Set(outcomes.map(({ kind }) => kind))].sort();
  const good = outcomes.filter(
    ({ error, missedDeadline }) => error === undefined && !missedDeadline,
  );
  const seconds = durationMs / 1000;
  return {
    durationMs: Math.round(durationMs),
    goodTokensPerSecond: sumBy(good, ({ tokens }) => tokens) / seconds,
    goodRequestsPerSecond: good.length / seconds,
    all: summarizeKind(outcomes),
    kinds: Object.fromEntries(
      names.map((name) => [name, summarizeKind(outcomes.filter(({ kind }) => kind === name))]),
    ),
  };
}

function summarizeKind(outcomes: LoadOutcome[]): KindSummary {
  const errors: Record<string, number> = {};
  for (const { error } of outcomes) {
    if (error !== undefined) {
      errors[error] = (errors[error] ?? 0) + 1;
    }
  }
  const whole = outcomes.filter(({ error }) => error === undefined);
  return {
    sent: outcomes.length,
    whole: whole.length,
    missedDeadlines: outcomes.filter(({ missedDeadline }) => missedDeadline).length,
    errors,
    tokens: sumBy(outcomes, ({ tokens }) => tokens),
    firstTokenMs: computeQuantiles(outcomes.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    tokenGapMs: computeQuantiles(outcomes.flatMap(({ gapsMs }) => gapsMs)),
    totalMs: computeQuantiles(whole.map(({ totalMs }) => totalMs)),
    resumeLatencyMs: computeQuantiles(
      outcomes.flatMap(({ resumeLatenciesMs }) => resumeLatenciesMs),
    ),
  };
}

function computeQuantiles(values: number[]): Quantiles {
  const histogram: Histogram = build({ highestTrackableValue: MAX_RECORDED_MS });
  values.forEach((value) => histogram.recordValue(Math.min(MAX_RECORDED_MS, Math.round(value))));
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile);
  return {
    count: values.length,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: values.length === 0 ? 0 : histogram.maxValue,
  };
}

function sumBy(outcomes: LoadOutcome[], select: (outcome: LoadOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + select(outcome), 0);
}
