/** Compares paced with unpaced recoveries after the loss of a failure domain with many open streams. */
import chooseTarget from '@limelead/choose-target';
import { DEMO_KEYS, type DemoCluster } from '@limelead/demo';
import type { Mix } from '@limelead/load';
import createRecoveryPacer from '@limelead/pace-recoveries';
import { delay, systemTimers } from '@limelead/types';
import ResultTable, { type Experiment } from '../experiment.js';
import runLoadOnCluster from '../run-load-on-cluster.js';

const ENGINES = 9;
const FAILURE_DOMAINS = ['depot-north', 'depot-south', 'civic-hall'];
const DOMAIN_LOSS_AT_MS = 2_500;

const MIX: Mix = {
  requestsPerSecond: 40,
  durationMs: 5_000,
  kinds: [
    {
      name: 'prompt',
      share: 1,
      service: 'in-cab',
      key: DEMO_KEYS.routing,
      promptCharacters: { median: 4_000, sigma: 0.3, max: 10_000 },
      maxTokens: { median: 60, sigma: 0.4, max: 150 },
    },
    {
      name: 'brief',
      share: 3,
      service: 'route-brief',
      key: DEMO_KEYS.routing,
      promptCharacters: { median: 16_000, sigma: 0.3, max: 40_000 },
      maxTokens: { median: 80, sigma: 0.4, max: 200 },
    },
  ],
};

async function crashDomain({ engines }: DemoCluster): Promise<void> {
  await delay(systemTimers, DOMAIN_LOSS_AT_MS);
  const lost = engines.filter((_, index) => index % FAILURE_DOMAINS.length === 0);
  await Promise.all(lost.map((engine) => engine.crash()));
}

const domainLoss: Experiment = {
  name: 'domain-loss',
  async run({ seeds }) {
    const table = new ResultTable();
    const unpaced = createRecoveryPacer(() => Number.MAX_SAFE_INTEGER);
    for (const seed of seeds) {
      for (const [name, pacer] of [
        ['all at once', unpaced],
        ['paced, most urgent first', undefined],
      ] as const) {
        const { summary, repeatedWork } = await runLoadOnCluster({
          cluster: {
            vms: 3,
            engines: ENGINES,
            domains: FAILURE_DOMAINS,
            strategies: { chooseTarget, pacer },
            engine: { slots: 24, baseGapMs: 20, prefillTokensPerSecond: 30_000 },
          },
          mix: MIX,
          seed,
          disturb: crashDomain,
        });
        const { prompt, brief } = summary.kinds;
        table.add(name, {
          'urgent resume p50 ms': prompt?.resumeLatencyMs.p50 ?? 0,
          'urgent resume max ms': prompt?.resumeLatencyMs.max ?? 0,
          'other resume p50 ms': brief?.resumeLatencyMs.p50 ?? 0,
          'other resume max ms': brief?.resumeLatencyMs.max ?? 0,
          'broken streams': summary.all.resumeLatencyMs.count,
          'prefilled again': repeatedWork.prefillTokens,
          'decoded again': repeatedWork.decodedTokens,
          'first token p95 ms': summary.all.firstTokenMs.p95,
          'gap p95 ms': summary.all.tokenGapMs.p95,
          'not whole': summary.all.sent - summary.all.whole,
        });
      }
    }
    return {
      name: 'domain-loss',
      question: 'Does everyone go on within 4 s, the most urgent first, without a stampede?',
      setting: `3 VMs, ${ENGINES} engines in three failure domains, one of them lost after 2.5 s; 40 requests/s for 5 s with prompts of about 4,000 and 16,000 characters, one process`,
      columns: [
        'urgent resume p50 ms',
        'urgent resume max ms',
        'other resume p50 ms',
        'other resume max ms',
        'broken streams',
        'prefilled again',
        'decoded again',
        'first token p95 ms',
        'gap p95 ms',
        'not whole',
      ],
      baseline: 'all at once',
      rows: table.list(),
    };
  },
};

export default domainLoss;
