/**
 * Compares ways to serve calls of a service with few slots. Prints a line of JSON for each case:
 * node packages/queue-calls/dist/compare-queues.fixture.js [END_MS [VMS,...]]
 */
import Fleet, { type FleetOptions } from './fleet.fixture.js';
import type { CompareCalls } from './order-calls.js';
import type { SimulatedCall } from './simulated-vm.fixture.js';

const END_MS = Number(process.argv[2] ?? 20_000);
const FROM_MS = 3_000;
const SIZES = (process.argv[3] ?? '30,71,300').split(',').map(Number);
const SEEDS = [1, 2];
const WORK_MS = 61;
const SLOTS = 6;
const SLOW_SHARE = 0.15;
/** Calls a second that one target serves, slow times included. */
const SERVED_PER_SECOND = (SLOTS * 1_000 * (1 - SLOW_SHARE + SLOW_SHARE / 2.5)) / WORK_MS;

const byDueTime: CompareCalls = (a, b) => a.rank - b.rank || a.objectiveAtMs - b.objectiveAtMs;

const WAYS: Readonly<Record<string, Pick<FleetOptions, 'policy' | 'queue'>>> = {
  'as now': { policy: 'as now' },
  'own limit': { policy: 'own limit' },
  'due time': { queue: { compare: byDueTime } },
  'in time first': {},
  'in time first, no extra call': { queue: { extraCalls: 0 } },
};

function share(calls: SimulatedCall[], holds: (call: SimulatedCall) => boolean): number {
  return Number((calls.filter(holds).length / Math.max(1, calls.length)).toFixed(3));
}

function isInTime({ outcome, endedAtMs = Infinity, objectiveAtMs }: SimulatedCall): boolean {
  return outcome === 'answered' && endedAtMs <= objectiveAtMs;
}

/** Smallest share of calls in time that arrived within the same six seconds. */
function worstShare(calls: SimulatedCall[]): number {
  const worst: number[] = [];
  for (let fromMs = FROM_MS; fromMs + 6_000 <= END_MS - 4_000; fromMs += 1_000) {
    const within = calls.filter(
      ({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < fromMs + 6_000,
    );
    worst.push(share(within, isInTime));
  }
  return Math.min(...worst);
}

for (const vms of SIZES) {
  for (const targets of [3, 5]) {
    for (const demand of [0.2, 0.6, 0.9, 1.2, 1.5]) {
      for (const [way, options] of Object.entries(WAYS)) {
        const calls: SimulatedCall[] = [];
        const worst: number[] = [];
        let messages = 0;
        let rejected = 0;
        let attempts = 0;
        for (const seed of SEEDS) {
          const linkMs = vms === 30 ? 0.5 : 1.4;
          const fleet = new Fleet({
            ...{ vms, targets, seed, linkMs, workMs: WORK_MS, slowShare: SLOW_SHARE },
            ...options,
          });
          fleet.startLoad(demand * targets * SERVED_PER_SECOND, END_MS - 4_000);
          fleet.clock.runUntil(END_MS);
          const counted = fleet.calls.filter(({ arrivedAtMs }) => arrivedAtMs >= FROM_MS);
          calls.push(...counted);
          worst.push(worstShare(counted));
          messages += options.policy === undefined ? fleet.messages.length : 0;
          rejected += fleet.targets.reduce((sum, target) => sum + target.rejected, 0);
          attempts += fleet.calls.length;
        }
        const answered = calls.filter(({ outcome }) => outcome === 'answered');
        const waits = calls.flatMap(({ sentAtMs, arrivedAtMs }) =>
          sentAtMs === undefined ? [] : [sentAtMs - arrivedAtMs],
        );
        const row = {
          ...{ vms, targets, demand, way },
          inTime: share(calls, isInTime),
          worst6s: Math.min(...worst),
          late: Number((answered.length / calls.length - share(calls, isInTime)).toFixed(3)),
          refused: share(calls, ({ outcome }) => outcome === 'refused'),
          expired: share(calls, ({ outcome }) => outcome === undefined || outcome === 'expired'),
          rejected,
          waitMs: Number((waits.reduce((sum, ms) => sum + ms, 0) / waits.length).toFixed(2)),
          messagesPerCall: Number((messages / attempts).toFixed(2)),
        };
        console.log(JSON.stringify(row));
      }
    }
  }
}
