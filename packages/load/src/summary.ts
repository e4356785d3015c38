/** Sums up what callers saw, for each kind. */
import { build, type Histogram } from 'hdr-histogram-js';

const HIGHEST_MS = 3_600_000;

/** Quantiles in milliseconds. */
export interface Quantiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** What became of one request. */
export interface LoadOutcome {
  kind: string;
  /** Milliseconds from the intended start; undefined where there was none. */
  firstTokenMs?: number;
  totalMs: number;
  gapsMs: number[];
  resumeLatenciesMs: number[];
  tokens: number;
  /** Kind of the error; undefined where the answer was whole. */
  error?: string;
  missedDeadline: boolean;
}

/** Figures of one kind. */
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

/** Figures of a load. */
export interface LoadSummary {
  durationMs: number;
  /** Tokens a second of answers that were whole and in time. */
  goodTokensPerSecond: number;
  /** Answers and calls a second that were whole and in time. */
  goodRequestsPerSecond: number;
  all: KindSummary;
  kinds: Record<string, KindSummary>;
}

/** Sums up outcomes. */
export default function summarize(outcomes: LoadOutcome[], durationMs: number): LoadSummary {
  const names = [...new Set(outcomes.map(({ kind }) => kind))].sort();
  const good = outcomes.filter(
    ({ error, missedDeadline }) => error === undefined && !missedDeadline,
  );
  const seconds = durationMs / 1000;
  return {
    durationMs: Math.round(durationMs),
    goodTokensPerSecond: sumOf(good, ({ tokens }) => tokens) / seconds,
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
    tokens: sumOf(outcomes, ({ tokens }) => tokens),
    firstTokenMs: quantilesOf(outcomes.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    tokenGapMs: quantilesOf(outcomes.flatMap(({ gapsMs }) => gapsMs)),
    totalMs: quantilesOf(whole.map(({ totalMs }) => totalMs)),
    resumeLatencyMs: quantilesOf(outcomes.flatMap(({ resumeLatenciesMs }) => resumeLatenciesMs)),
  };
}

function quantilesOf(values: number[]): Quantiles {
  const histogram: Histogram = build({ highestTrackableValue: HIGHEST_MS });
  values.forEach((value) => histogram.recordValue(Math.min(HIGHEST_MS, Math.round(value))));
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile);
  return {
    count: values.length,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: values.length === 0 ? 0 : histogram.maxValue,
  };
}

function sumOf(outcomes: LoadOutcome[], pick: (outcome: LoadOutcome) => number): number {
  return outcomes.reduce((sum, outcome) => sum + pick(outcome), 0);
}
