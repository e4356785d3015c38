/** Counters, gauges and latency summaries, rendered in the Prometheus text format. */
import { build, type Histogram } from 'hdr-histogram-js';

const MAX_RECORDED_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99] as const;

/** Labels of a series: values by name. */
export type Labels = Readonly<Record<string, string>>;

/** A value of a gauge with labels that change from one rendering to the next. */
export interface LabelledValue {
  labels: Labels;
  value: number;
}

/** The metrics of a process. */
export interface Metrics {
  /** Increases a counter by `by`, 1 by default. */
  count(name: string, by?: number, labels?: Labels): void;
  /** Adds a duration to a summary. */
  recordMs(name: string, milliseconds: number, labels?: Labels): void;
  /** Registers a gauge whose value, or values by labels, are read at each rendering. */
  gauge(name: string, read: () => number | readonly LabelledValue[], labels?: Labels): void;
  /** The value of a counter; 0 if it was never increased. */
  counterValue(name: string, labels?: Labels): number;
  /** Renders all series in the Prometheus text format. */
  render(): string;
}

interface CounterSeries {
  name: string;
  labels: Labels;
  value: number;
}

interface GaugeSeries {
  name: string;
  labels: Labels;
  read: () => number | readonly LabelledValue[];
}

interface SummarySeries {
  name: string;
  labels: Labels;
  histogram: Histogram;
  sumMs: number;
}

/** Creates metrics without any series. */
export default function createMetrics(): Metrics {
  const counters = new Map<string, CounterSeries>();
  const summaries = new Map<string, SummarySeries>();
  const gauges = new Map<string, GaugeSeries>();

  function count(name: string, by = 1, labels: Labels = {}): void {
    const key = seriesKey(name, labels);
    const series = counters.get(key) ?? { name, labels, value: 0 };
    series.value += by;
    counters.set(key, series);
  }

  function recordMs(name: string, milliseconds: number, labels: Labels = {}): void {
    const key = seriesKey(name, labels);
    const series = summaries.get(key) ?? createSummarySeries(name, labels);
    const bounded = Math.min(Math.max(0, milliseconds), MAX_RECORDED_MS);
    series.histogram.recordValue(bounded);
    series.sumMs += bounded;
    summaries.set(key, series);
  }

  function render(): string {
    const lines: string[] = [];
    const typedNames = new Set<string>();
    const addType = (name: string, type: string): void => {
      if (!typedNames.has(name)) {
        typedNames.add(name);
        lines.push(`# TYPE ${name} ${type}`);
      }
    };
    for (const series of sortByName(counters.values())) {
      addType(series.name, 'counter');
      lines.push(`${seriesKey(series.name, series.labels)} ${series.value}`);
    }
    for (const { name, labels, read } of sortByName(gauges.values())) {
      addType(name, 'gauge');
      const value = read();
      const values = typeof value === 'number' ? [{ labels: {}, value }] : value;
      values.forEach((one) =>
        lines.push(`${seriesKey(name, { ...labels, ...one.labels })} ${one.value}`),
      );
    }
    for (const series of sortByName(summaries.values())) {
      addType(series.name, 'summary');
      lines.push(...renderSummary(series));
    }
    return `${lines.join('\n')}\n`;
  }

  return {
    count,
    recordMs,
    render,
    gauge: (name, read, labels = {}) =>
      void gauges.set(seriesKey(name, labels), { name, labels, read }),
    counterValue: (name, labels = {}) => counters.get(seriesKey(name, labels))?.value ?? 0,
  };
}

function createSummarySeries(name: string, labels: Labels): SummarySeries {
  const histogram = build({
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  return { name, labels, histogram, sumMs: 0 };
}

function renderSummary(series: SummarySeries): string[] {
  const { name, labels, histogram, sumMs } = series;
  const quantiles = QUANTILES.map((quantile) => {
    const key = seriesKey(name, { ...labels, quantile: String(quantile) });
    return `${key} ${histogram.getValueAtPercentile(quantile * 100)}`;
  });
  return [
    ...quantiles,
    `${seriesKey(`${name}_sum`, labels)} ${sumMs}`,
    `${seriesKey(`${name}_count`, labels)} ${histogram.totalCount}`,
  ];
}

function sortByName<Series extends { name: string }>(series: Iterable<Series>): Series[] {
  return [...series].sort((a, b) => a.name.localeCompare(b.name));
}

function seriesKey(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${escapeLabel(value)}"`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

function escapeLabel(value: string): string {
  return value.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');
}
