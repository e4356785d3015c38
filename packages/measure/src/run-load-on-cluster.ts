/** Runs a load on a demo cluster, optionally with disturbances during the load. */
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

/** Cluster, load and disturbance of one run. */
export interface LoadRun {
  cluster: Partial<DemoClusterOptions>;
  mix: Mix;
  seed: number;
  /** Attempts of one request; 1 reports every refusal as an error. */
  maxTries?: number;
  /** Runs concurrently with the load. */
  disturb?: (cluster: DemoCluster) => Promise<void>;
}

/** Load summary, repeated work and metrics of one run. */
export interface LoadRunResult {
  summary: LoadSummary;
  repeatedWork: RepeatedWork;
  cluster: DemoCluster;
  /** Returns the sum of a counter over all VMs. */
  sumCounter(name: string): number;
}

/** Starts the cluster, runs the load and stops the cluster. */
export default async function runLoadOnCluster(run: LoadRun): Promise<LoadRunResult> {
  const cluster = await startDemoCluster(run.cluster);
  try {
    const arrivals = planArrivals(run.mix, createSeededRandom(run.seed), `s${run.seed}`);
    const [summary] = await Promise.all([
      runLoad(arrivals, {
        urls: cluster.urls(),
        timers: systemTimers,
        maxTries: run.maxTries ?? 10,
      }),
      run.disturb?.(cluster),
    ]);
    const pages = cluster.vms.map(({ daemon }) => daemon.renderMetrics());
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

/** Returns the demo resources with changed priorities. */
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
