/** Compares resume latency and repeated work of fixed timeouts, adaptive timeouts, hedges and probes. */
import { DEMO_KEYS, FRUGAL_RECOVERY, URGENT_RECOVERY, type DemoCluster } from '@limelead/demo';
import type { Mix } from '@limelead/load';
import { delay, systemTimers, type RecoveryPolicy } from '@limelead/types';
import ResultTable, { type Experiment } from '../experiment.js';
import runLoadOnCluster, { withPriorities } from '../run-load-on-cluster.js';

const ENGINES = 8;
const ENGINE_PAUSE_MS = 2_500;

const MIX: Mix = {
  requestsPerSecond: 14,
  durationMs: 7_000,
  kinds: [
    {
      name: 'sheet',
      share: 1,
      service: 'feedback-sheet',
      key: DEMO_KEYS.haneul,
      promptCharacters: { median: 1_200, sigma: 0.4, max: 4_000 },
      maxTokens: { median: 150, sigma: 0.4, max: 400 },
    },
  ],
};

function createFixedTimeout(silenceMs: number): RecoveryPolicy {
  return {
    suspicionFactor: 1,
    minSilenceMs: silenceMs,
    maxSilenceMs: silenceMs,
    hedge: false,
    probeFirst: false,
  };
}

const POLICIES: Record<string, RecoveryPolicy> = {
  'fixed 150 ms': createFixedTimeout(150),
  'fixed 500 ms': createFixedTimeout(500),
  'fixed 2000 ms': createFixedTimeout(2_000),
  'adaptive, factor 4': {
    suspicionFactor: 4,
    minSilenceMs: 100,
    maxSilenceMs: 2_000,
    hedge: false,
    probeFirst: false,
  },
  'Limelead Routing: adaptive, hedge': URGENT_RECOVERY,
  'Haneul: adaptive, probe first': FRUGAL_RECOVERY,
};

/** Slows some engines briefly, pauses two engines and crashes one. */
async function disturbEngines({ engines }: DemoCluster): Promise<void> {
  for (let round = 0; round < 10; round += 1) {
    await delay(systemTimers, 300);
    const engine = engines[round % (ENGINES - 3)];
    engine?.setSlowdown(25);
    await delay(systemTimers, 220);
    engine?.setSlowdown(1);
    if (round === 3) {
      engines.slice(-2).forEach((paused) => paused.pause());
      setTimeout(() => engines.slice(-2).forEach((paused) => paused.resume()), ENGINE_PAUSE_MS);
    }
    if (round === 6) {
      await engines.at(-3)?.crash();
    }
  }
}

/** Compares recovery policies under the same disturbances. */
const recovery: Experiment = {
  name: 'recovery',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const seed of seeds) {
      for (const [name, policy] of Object.entries(POLICIES)) {
        const { summary, repeatedWork, sumCounter } = await runLoadOnCluster({
          cluster: {
            vms: 3,
            engines: ENGINES,
            engine: { baseGapMs: 12, reportLagMs: 500 },
            resources: withPriorities((priority) => ({ ...priority, recovery: policy })),
          },
          mix: MIX,
          seed,
          disturb: disturbEngines,
        });
        table.add(name, {
          'resume p50 ms': summary.all.resumeLatencyMs.p50,
          'resume p95 ms': summary.all.resumeLatencyMs.p95,
          'resume max ms': summary.all.resumeLatencyMs.max,
          'longest gap ms': Math.max(summary.all.tokenGapMs.max, summary.all.resumeLatencyMs.max),
          breaks: sumCounter('limelead_streams_broken_total'),
          'prefilled again': repeatedWork.prefillTokens,
          'decoded again': repeatedWork.decodedTokens,
          'first token p95 ms': summary.all.firstTokenMs.p95,
          'gap p95 ms': summary.all.tokenGapMs.p95,
          'not whole': summary.all.sent - summary.all.whole,
          'tokens/s': summary.goodTokensPerSecond,
        });
      }
    }
    return {
      name: 'recovery',
      question: 'What does a shorter silence cost, and where do both configurations sit?',
      setting: `3 VMs, ${ENGINES} engines; ten stutters of 0.2 s, two engines stopped for 2.5 s, one dies; 14 requests/s for 7 s, one process. Resume counts moves to another attempt; a stutter that is sat out shows in the longest gap.`,
      columns: [
        'resume p50 ms',
        'resume p95 ms',
        'resume max ms',
        'longest gap ms',
        'breaks',
        'prefilled again',
        'decoded again',
        'first token p95 ms',
        'gap p95 ms',
        'not whole',
        'tokens/s',
      ],
      baseline: 'fixed 500 ms',
      rows: table.list(),
    };
  },
};

export default recovery;
