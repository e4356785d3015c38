/** Time until a change is in force everywhere, and what the control traffic costs. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@limelead/client';
import { createDemoResources, DEMO_KEYS, startDemoCluster, type DemoCluster } from '@limelead/demo';
import { ApplyRequestSchema } from '@limelead/schema';
import { delay, systemTimers } from '@limelead/types';
import { median } from '../statistics.js';
import ResultTable, { type Experiment } from '../experiment.js';

const FLEETS = [3, 7, 15, 30];
const CHANGES = 5;
const IDLE_MS = 3_000;
const LOOK_MS = 2;

/** Applies a change through one VM; gives the milliseconds until every VM has it in force. */
async function timeChange(
  cluster: DemoCluster,
  through: number,
  changeId: string,
  afterAccepted: () => void,
): Promise<number> {
  const vm = cluster.vms[through % cluster.vms.length];
  const client = createClient({ urls: [vm?.url ?? ''], key: DEMO_KEYS.operator });
  const base = Math.max(...cluster.vms.map(({ daemon }) => daemon.revision()));
  const startedAt = performance.now();
  const { revision } = await client.administration.apply(
    create(ApplyRequestSchema, {
      changeId,
      baseRevision: BigInt(base),
      operations: [
        { operation: { case: 'delete', value: { kind: 'placementRule', name: 'none' } } },
      ],
      reason: 'measure',
    }),
    { headers: client.headers },
  );
  afterAccepted();
  while (cluster.vms.some(({ daemon }) => daemon.revision() < Number(revision))) {
    await delay(systemTimers, LOOK_MS);
  }
  await client.close();
  return performance.now() - startedAt;
}

async function measureFleet(table: ResultTable, vms: number, outage: boolean): Promise<void> {
  const cluster = await startDemoCluster({
    vms,
    engines: 1,
    plainServices: 0,
    resources: createDemoResources(),
  });
  try {
    const before = cluster.platform.counts();
    const idleFrom = performance.now();
    await delay(systemTimers, IDLE_MS);
    const after = cluster.platform.counts();
    const seconds = (performance.now() - idleFrom) / 1000;
    const times: number[] = [];
    const seen = cluster.vms.map(({ daemon }) => daemon.revision());
    let wentBack = 0;
    for (let index = 0; index < CHANGES; index += 1) {
      cluster.platform.setOutage(false);
      const cut = (): void => cluster.platform.setOutage(outage);
      times.push(await timeChange(cluster, index, `c${index}`, cut));
      cluster.vms.forEach(({ daemon }, vm) => {
        wentBack += daemon.revision() < (seen[vm] ?? 0) ? 1 : 0;
        seen[vm] = daemon.revision();
      });
    }
    table.add(`${vms} VMs${outage ? ', outage after acceptance' : ''}`, {
      'in force everywhere, median ms': median(times),
      'in force everywhere, max ms': Math.max(...times),
      'reads/s of the service': (after.reads - before.reads) / seconds,
      'writes/s of the service': (after.writes - before.writes) / seconds,
      'watches/s of the service': (after.watches - before.watches) / seconds,
      'revisions that went back': wentBack,
    });
  } finally {
    await cluster.stop();
  }
}

/** Measures fleets of several sizes, with and without an outage right after acceptance. */
const spread: Experiment = {
  name: 'spread',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const _ of seeds) {
      for (const vms of FLEETS) {
        await measureFleet(table, vms, false);
        await measureFleet(table, vms, true);
      }
    }
    return {
      name: 'spread',
      question:
        'How long until a change is in force on every VM, and what does it cost the service?',
      setting: `all VMs in one process, heartbeats every 0.3 s, watches of 2 s; ${CHANGES} changes through different VMs; calls counted over ${IDLE_MS / 1000} s without changes`,
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
