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
import measureExtraUse, { type ExtraUse } from './extra-use.js';

/** What is run. */
export interface Cell {
  cluster: Partial<DemoClusterOptions>;
  mix: Mix;
  seed: number;
  /** Tries of one request; 1 shows every refusal. */
  maxTries?: number;
  /** Runs beside the load. */
  during?: (cluster: DemoCluster) => Promise<void>;
}

/** What was found. */
export interface CellResult {
  summary: LoadSummary;
  extra: ExtraUse;
  cluster: DemoCluster;
  /** Sum of a counter over all VMs. */
  counter(name: string): number;
}

/** Runs a cell and stops everything that it started. */
export default async function runCell(cell: Cell): Promise<CellResult> {
  const cluster = await startDemoCluster(cell.cluster);
  try {
    const arrivals = planArrivals(cell.mix, createSeededRandom(cell.seed), `s${cell.seed}`);
    const [summary] = await Promise.all([
      runLoad(arrivals, {
        urls: cluster.urls(),
        timers: systemTimers,
        maxTries: cell.maxTries ?? 10,
      }),
      cell.during?.(cluster),
    ]);
    const pages = cluster.vms.map(({ daemon }) => daemon.renderMetrics());
    return {
      summary,
      extra: measureExtraUse(cluster.engines, summary.all.tokens),
      cluster,
      counter: (name) => pages.reduce((sum, page) => sum + readCounter(page, name), 0),
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
