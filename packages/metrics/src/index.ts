/** Counters, gauges and latency histograms with a Prometheus text page. */
import { build, type Histogram } from 'hdr-histogram-js';

const HIGHEST_TRACKABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99] as const;

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Holds the series of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, by?: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  recordMs(name: string, milliseconds: number, labels?: Labels): void;
  /** Registers a gauge that is read when the page is rendered. */
  gauge(name: string, read: () => number, labels?: Labels): void;
  /** Present value of a counter, 0 where it was never counted. */
  counterValue(name: string, labels?: Labels): number;
  /** The page in the Prometheus text format. */
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
  read: () => number;
}

interface HistogramSeries {
  name: string;
  labels: Labels;
  histogram: Histogram;
  sumMs: number;
}

/** Creates an empty set of series. */
export default function createMetrics(): Metrics {
  const counters = new Map<string, CounterSeries>();
  const histograms = new Map<string, HistogramSeries>();
  const gauges = new Map<string, GaugeSeries>();

  function count(name: string, by = 1, labels: Labels = {}): void {
    const key = seriesKey(name, labels);
    const series = counters.get(key) ?? { name, labels, value: 0 };
    series.value += by;
    counters.set(key, series);
  }

  function recordMs(name: string, milliseconds: number, labels: Labels = {}): void {
    const key = seriesKey(name, labels);
    const series = histograms.get(key) ?? createHistogramSeries(name, labels);
    const bounded = Math.min(Math.max(0, milliseconds), HIGHEST_TRACKABLE_MS);
    series.histogram.recordValue(bounded);
    series.sumMs += bounded;
    histograms.set(key, series);
  }

  function render(): string {
    const lines: string[] = [];
    const announced = new Set<string>();
    const announce = (name: string, type: string): void => {
      if (!announced.has(name)) {
        announced.add(name);
        lines.push(`# TYPE ${name} ${type}`);
      }
    };
    for (const series of sortByName(counters.values())) {
      announce(series.name, 'counter');
      lines.push(`${seriesKey(series.name, series.labels)} ${series.value}`);
    }
    for (const { name, labels, read } of sortByName(gauges.values())) {
      announce(name, 'gauge');
      lines.push(`${seriesKey(name, labels)} ${read()}`);
    }
    for (const series of sortByName(histograms.values())) {
      announce(series.name, 'summary');
      lines.push(...renderHistogram(series));
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

function createHistogramSeries(name: string, labels: Labels): HistogramSeries {
  const histogram = build({
    highestTrackableValue: HIGHEST_TRACKABLE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  return { name, labels, histogram, sumMs: 0 };
}

function renderHistogram(series: HistogramSeries): string[] {
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
