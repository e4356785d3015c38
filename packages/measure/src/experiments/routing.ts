/** Compares the router with random, round-robin and least-reported-load routing. */
import { createTargetChooser, type ChooseTarget } from '@limelead/choose-target';
import { DEMO_KEYS } from '@limelead/demo';
import type { Mix } from '@limelead/load';
import ResultTable, { type Experiment } from '../experiment.js';
import { sum } from '../statistics.js';
import runLoadOnCluster from '../run-load-on-cluster.js';

const VMS = 7;
const ENGINES = 12;

const MIX: Mix = {
  requestsPerSecond: 40,
  durationMs: 7_000,
  kinds: [
    {
      name: 'brief',
      share: 1,
      service: 'route-brief',
      key: DEMO_KEYS.routing,
      sharedPrefixes: { count: 24, characters: 6_000 },
      promptCharacters: { median: 300, sigma: 0.5, max: 2_000 },
      maxTokens: { median: 20, sigma: 0.7, max: 200 },
    },
  ],
};

const chooseRandom: ChooseTarget = (targets, request, random) => {
  const allowed = targets.filter(({ id }) => !request.exclude.includes(id));
  const target = allowed[Math.floor(random.next() * allowed.length)];
  return target === undefined ? undefined : { target, considered: [] };
};

function createRoundRobin(): ChooseTarget {
  let next = 0;
  return (targets, request) => {
    const allowed = targets.filter(({ id }) => !request.exclude.includes(id));
    next += 1;
    const target = allowed[next % allowed.length];
    return target === undefined ? undefined : { target, considered: [] };
  };
}

const chooseLeastReportedLoad: ChooseTarget = (targets, request) => {
  const allowed = targets.filter(({ id }) => !request.exclude.includes(id));
  const loadOf = ({ report }: (typeof allowed)[number]): number =>
    report === undefined ? 0 : report.running + report.waiting;
  const target = [...allowed].sort((a, b) => loadOf(a) - loadOf(b))[0];
  return target === undefined ? undefined : { target, considered: [] };
};

/** Compares routers under the same arrivals. */
const routing: Experiment = {
  name: 'routing',
  async run({ seeds }) {
    const table = new ResultTable();
    const routers: [string, () => ChooseTarget][] = [
      ['random', () => chooseRandom],
      ['round robin', createRoundRobin],
      ['least by report', () => chooseLeastReportedLoad],
      ['limelead, draws 2', () => createTargetChooser(2)],
      ['limelead, draws 4', () => createTargetChooser(4)],
      ['limelead, looks at all', () => createTargetChooser(ENGINES)],
    ];
    for (const seed of seeds) {
      for (const [name, create] of routers) {
        const { summary, repeatedWork, cluster } = await runLoadOnCluster({
          cluster: {
            vms: VMS,
            engines: ENGINES,
            strategies: { chooseTarget: create() },
            engine: {
              slots: 4,
              baseGapMs: 15,
              prefillTokensPerSecond: 8_000,
              reportLagMs: 1_000,
              cacheBlocks: 800,
            },
          },
          mix: MIX,
          seed,
        });
        const generationsByEngine = cluster.engines.map((engine) => engine.records().length);
        table.add(name, {
          'first token p50 ms': summary.all.firstTokenMs.p50,
          'first token p95 ms': summary.all.firstTokenMs.p95,
          'gap p95 ms': summary.all.tokenGapMs.p95,
          'busiest engine / mean':
            Math.max(...generationsByEngine) / (sum(generationsByEngine) / ENGINES),
          'prefill tokens': sum(
            cluster.engines.flatMap((engine) =>
              engine.records().map((record) => record.prefillTokens),
            ),
          ),
          'resume max ms': summary.all.resumeLatencyMs.max,
          'prefilled again': repeatedWork.prefillTokens,
          'decoded again': repeatedWork.decodedTokens,
          'tokens/s': summary.goodTokensPerSecond,
        });
      }
    }
    return {
      name: 'routing',
      question:
        'Does the router beat simple ones, and does it herd onto the engine that looked idle?',
      setting: `${VMS} VMs, ${ENGINES} engines of 4 slots, reports lag 1 s, 40 requests/s for 7 s, 24 shared prefixes of 6,000 characters, one process`,
      columns: [
        'first token p50 ms',
        'first token p95 ms',
        'gap p95 ms',
        'busiest engine / mean',
        'prefill tokens',
        'resume max ms',
        'prefilled again',
        'decoded again',
        'tokens/s',
      ],
      baseline: 'least by report',
      rows: table.list(),
    };
  },
};

export default routing;
