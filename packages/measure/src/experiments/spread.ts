/** Measures the time until a change is in force on every VM and the cost of control traffic. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@limelead/client';
import { createDemoResources, DEMO_KEYS, startDemoCluster, type DemoCluster } from '@limelead/demo';
import { ApplyRequestSchema } from '@limelead/schema';
import { delay, systemTimers } from '@limelead/types';
import { median } from '../statistics.js';
import ResultTable, { type Experiment } from '../experiment.js';

const FLEET_SIZES = [3, 7, 15, 30];
const CHANGE_COUNT = 5;
const IDLE_MS = 3_000;
const POLL_MS = 2;

/** Applies a change through one VM; returns the milliseconds until it is in force on every VM. */
async function timeChange(
  cluster: DemoCluster,
  vmIndex: number,
  changeId: string,
  onAccepted: () => void,
): Promise<number> {
  const vm = cluster.vms[vmIndex % cluster.vms.length];
  const client = createClient({ urls: [vm?.url ?? ''], key: DEMO_KEYS.operator });
  const baseRevision = Math.max(...cluster.vms.map(({ daemon }) => daemon.revision()));
  const startedAt = performance.now();
  const { revision } = await client.administration.apply(
    create(ApplyRequestSchema, {
      changeId,
      baseRevision: BigInt(baseRevision),
      operations: [
        { operation: { case: 'delete', value: { kind: 'placementRule', name: 'none' } } },
      ],
      reason: 'measure',
    }),
    { headers: client.headers },
  );
  onAccepted();
  while (cluster.vms.some(({ daemon }) => daemon.revision() < Number(revision))) {
    await delay(systemTimers, POLL_MS);
  }
  await client.close();
  return performance.now() - startedAt;
}

async function measureFleet(table: ResultTable, vms: number, hasOutage: boolean): Promise<void> {
  const cluster = await startDemoCluster({
    vms,
    engines: 1,
    plainServices: 0,
    resources: createDemoResources(),
  });
  try {
    const before = cluster.platform.counts();
    const idleSince = performance.now();
    await delay(systemTimers, IDLE_MS);
    const after = cluster.platform.counts();
    const seconds = (performance.now() - idleSince) / 1000;
    const times: number[] = [];
    const lastRevisions = cluster.vms.map(({ daemon }) => daemon.revision());
    let revisionDecreases = 0;
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      cluster.platform.setOutage(false);
      const startOutage = (): void => cluster.platform.setOutage(hasOutage);
      times.push(await timeChange(cluster, index, `c${index}`, startOutage));
      cluster.vms.forEach(({ daemon }, vm) => {
        revisionDecreases += daemon.revision() < (lastRevisions[vm] ?? 0) ? 1 : 0;
        lastRevisions[vm] = daemon.revision();
      });
    }
    table.add(`${vms} VMs${hasOutage ? ', outage after acceptance' : ''}`, {
      'in force everywhere, median ms': median(times),
      'in force everywhere, max ms': Math.max(...times),
      'reads/s of the service': (after.reads - before.reads) / seconds,
      'writes/s of the service': (after.writes - before.writes) / seconds,
      'watches/s of the service': (after.watches - before.watches) / seconds,
      'revisions that went back': revisionDecreases,
    });
  } finally {
    await cluster.stop();
  }
}

/** Measures several fleet sizes, with and without a store outage right after acceptance. */
const spread: Experiment = {
  name: 'spread',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const _ of seeds) {
      for (const vms of FLEET_SIZES) {
        await measureFleet(table, vms, false);
        await measureFleet(table, vms, true);
      }
    }
    return {
      name: 'spread',
      question:
        'How long until a change is in force on every VM, and what does it cost the service?',
      setting: `all VMs in one process, heartbeats every 0.3 s, watches of 2 s; ${CHANGE_COUNT} changes through different VMs; calls counted over ${IDLE_MS / 1000} s without changes`,
      columns: [
        'in force everywhere, median ms',
        'in force everywhere, max ms',
        'reads/s of the service',
        'writes/s of the service',
        'watches/s of the service',
        'revisions that went back',
      ],
      baseline: '3 VMs',
      rows: table.list(),
    };
  },
};

export default spread;
