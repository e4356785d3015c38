/** Measures goodput at multiples of the capacity, with a small organisation beside a large one. */
import { DEMO_KEYS } from '@limelead/demo';
import type { Mix, MixKind } from '@limelead/load';
import ResultTable, { type Experiment } from '../experiment.js';
import runLoadOnCluster, { withPriorities } from '../run-load-on-cluster.js';

const ENGINES = 3;
/** Requests per second that the engines serve within the deadline. */
const CAPACITY_PER_SECOND = 36;
const CAPACITY_MULTIPLES = [0.5, 1, 2, 4];
const DEADLINE_MS = 3_000;
const UNLIMITED_QUEUE_MS = 86_400_000;
const MAX_QUEUE_MS = 1_000;

const LARGE_ORGANISATION: MixKind = {
  name: 'large',
  share: 10,
  service: 'route-brief',
  key: DEMO_KEYS.routing,
  deadlineMs: DEADLINE_MS,
  promptCharacters: { median: 400, sigma: 0.3, max: 1_000 },
  maxTokens: { median: 16, sigma: 0.4, max: 60 },
};
const SMALL_ORGANISATION: MixKind = {
  ...LARGE_ORGANISATION,
  name: 'small',
  share: 1,
  key: DEMO_KEYS.haneul,
};

/** Compares early refusal with unlimited queues. */
const overload: Experiment = {
  name: 'overload',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const seed of seeds) {
      for (const multiple of CAPACITY_MULTIPLES) {
        for (const [name, maxQueueMs] of [
          ['takes everything', UNLIMITED_QUEUE_MS],
          ['refuses in time', MAX_QUEUE_MS],
        ] as const) {
          const mix: Mix = {
            requestsPerSecond: CAPACITY_PER_SECOND * multiple,
            durationMs: 5_000,
            kinds: [LARGE_ORGANISATION, SMALL_ORGANISATION],
          };
          const { summary, repeatedWork } = await runLoadOnCluster({
            cluster: {
              vms: 3,
              engines: ENGINES,
              resources: withPriorities((priority) => ({ ...priority, maxQueueMs })),
              engine: { slots: 4, baseGapMs: 12, loadSlowdown: 0.5, reportLagMs: 200 },
            },
            mix,
            seed,
            maxTries: 1,
          });
          const { large, small } = summary.kinds;
          table.add(`${name}, ${multiple} × capacity`, {
            'good requests/s': summary.goodRequestsPerSecond,
            'deadline misses': countMissedDeadlines(summary.all),
            refused: summary.all.errors['overloaded'] ?? 0,
            'small: good share': completedShare(small),
            'large: good share': completedShare(large),
            'small: first token p95 ms': small?.firstTokenMs.p95 ?? 0,
            'large: first token p95 ms': large?.firstTokenMs.p95 ?? 0,
            'gap p95 ms': summary.all.tokenGapMs.p95,
            'resume max ms': summary.all.resumeLatencyMs.max,
            'prefilled again': repeatedWork.prefillTokens,
            'decoded for nothing': repeatedWork.decodedTokens,
          });
        }
      }
    }
    return {
      name: 'overload',
      question:
        'Does goodput hold past the knee, and is a small organisation served beside a large one that sends ten times as much?',
      setting: `3 VMs, ${ENGINES} engines of 4 slots, deadline 3 s, no retries by callers, 5 s of arrivals, equal weights, capacity taken as ${CAPACITY_PER_SECOND} requests/s, one process`,
      columns: [
        'good requests/s',
        'deadline misses',
        'refused',
        'small: good share',
        'large: good share',
        'small: first token p95 ms',
        'large: first token p95 ms',
        'gap p95 ms',
        'resume max ms',
        'prefilled again',
        'decoded for nothing',
      ],
      baseline: 'takes everything, 1 × capacity',
      rows: table.list(),
    };
  },
};

interface OutcomeCounts {
  sent: number;
  whole: number;
  missedDeadlines: number;
  errors: Record<string, number>;
}

function countMissedDeadlines({ errors, missedDeadlines }: OutcomeCounts): number {
  return Math.max(missedDeadlines, errors['deadline-passed'] ?? 0);
}

function completedShare(kind: OutcomeCounts | undefined): number {
  return kind === undefined || kind.sent === 0 ? 0 : kind.whole / kind.sent;
}

export default overload;
