/** One run: a cluster, a load, and something that happens in between. */
import {
  createDemoResources,
  createSeededRandom,
  startDemoCluster,
  type DemoCluster,
  type DemoClusterOptions,
} from '@limelead/demo';
import { planArrivals, runLoad, type LoadSummary, type Mix } from '@limelead/load';
import { systemTimers, type Priority, type Resource } from '@limelead/types';
import measureRepeatedWork, { type RepeatedWork } from './repeated-work.js';

/** What is run. */
export interface LoadRun {
  cluster: Partial<DemoClusterOptions>;
  mix: Mix;
  seed: number;
  /** Tries of one request; 1 shows every refusal. */
  maxTries?: number;
  /** Runs beside the load. */
  disturb?: (cluster: DemoCluster) => Promise<void>;
}

/** What was found. */
export interface LoadRunResult {
  summary: LoadSummary;
  repeatedWork: RepeatedWork;
  cluster: DemoCluster;
  /** Sum of a counter over all VMs. */
  sumCounter(name: string): number;
}

/** Runs a cell and stops everything that it started. */
export default async function runLoadOnCluster(cell: LoadRun): Promise<LoadRunResult> {
  const cluster = await startDemoCluster(cell.cluster);
  try {
    const arrivals = planArrivals(cell.mix, createSeededRandom(cell.seed), `s${cell.seed}`);
    const [summary] = await Promise.all([
      runLoad(arrivals, {
        urls: cluster.urls(),
        timers: systemTimers,
        maxTries: cell.maxTries ?? 10,
      }),
      cell.disturb?.(cluster),
    ]);
    const pages = cluster.vms.map(({ daemon }) => daemon.metricsPage());
    return {
      summary,
      repeatedWork: measureRepeatedWork(cluster.engines, summary.all.tokens),
      cluster,
      sumCounter: (name) => pages.reduce((sum, page) => sum + readCounter(page, name), 0),
    };
  } finally {
    await cluster.stop();
  }
}

/** The demonstration's resources with changed priorities. */
export function withPriorities(change: (priority: Priority) => Priority): Resource[] {
  return createDemoResources().map((resource) =>
    resource.kind === 'priority' ? { kind: 'priority', spec: change(resource.spec) } : resource,
  );
}

function readCounter(page: string, name: string): number {
  return page
    .split('\n')
    .filter((line) => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}
