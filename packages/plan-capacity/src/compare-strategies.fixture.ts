/** Simulates a load with losses under different order strategies and totals their costs. */
import type { Forecast } from './forecast.js';
import limitScaleDown, { type ScaleDownState } from './limit-scale-down.js';
import planDomains, { targetPrices } from './plan-domains.js';
import type { CapacityPolicy, TargetCounts } from './types.js';

const DOMAINS = ['a', 'b', 'c'];
const SCALING = {
  ...{ min: 1, max: 56, bootMs: 4_000, spotPrice: 0.15 },
  domainPrices: { a: 1, b: 0.8, c: 1.25 },
};
export const POLICY: CapacityPolicy = {
  ...{ load: 0.9, usesSpot: true, plainFloor: 1, lateRunsPerTargetSecond: 0.01 },
};
const SECONDS = 300;
const BOOT_SECONDS = 6;
const WINDOW_SECONDS = 15;
const RUNS_PER_SECOND = 18;
/** Target seconds that one run uses. */
const TARGET_SECONDS_PER_RUN = 1.1;
/** Backlog in seconds above which runs are late. */
const MAX_BACKLOG_SECONDS = 3;

/** Returns the targets of each domain for a need. */
export type OrderStrategy = (needed: number) => ReadonlyMap<string, TargetCounts>;

/** Total cost of a strategy. */
export interface StrategyCost {
  price: number;
  targetSeconds: number;
  lateRuns: number;
  orders: number;
}

const evenly = (plain: number, spot: number) =>
  new Map(DOMAINS.map((name) => [name, { plain, spot }]));

function planWith(policy: Partial<CapacityPolicy>, needed: number) {
  return planDomains({
    domains: DOMAINS.map((name) => ({ name })),
    scaling: SCALING,
    policy: { ...POLICY, ...policy },
    needed,
    runsPerSecond: RUNS_PER_SECOND,
  }).counts;
}

/** The strategies to compare. */
export const STRATEGIES: Readonly<Record<string, OrderStrategy>> = {
  'keep all plain': () => evenly(28, 0),
  'cheapest plain': (needed) => {
    const cheap = Math.min(SCALING.max, needed);
    return new Map([
      ['a', { plain: Math.max(1, needed - cheap), spot: 0 }],
      ['b', { plain: cheap, spot: 0 }],
      ['c', { plain: 1, spot: 0 }],
    ]);
  },
  'mixed with reserve': (needed) => planWith({ plainFloor: Math.ceil(needed / 3) }, needed),
  'all spot spread': (needed) => planWith({ plainFloor: 0 }, needed),
  planned: (needed) => planWith({}, needed),
};

/** Creates a seeded random number generator for [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 0x1_0000_0000;
  };
}

/**
 * Returns the runs of each second: a wave in clumps of three, with occasional jumps of a few
 * seconds.
 */
export function generateLoad(seed: number): number[] {
  const random = createRandom(seed);
  let jumpUntil = 0;
  let jump = 1;
  return Array.from({ length: SECONDS }, (_, second) => {
    if (random() < 0.01) {
      jumpUntil = second + 3 + 7 * random();
      jump = 1.7 + 0.8 * random();
    }
    const wave = 1 + 0.27 * Math.sin((second * 2 * Math.PI) / 11);
    const mean = RUNS_PER_SECOND * wave * (second < jumpUntil ? jump : 1);
    let runs = 0;
    for (let clump = 0; clump < mean; clump += 1) {
      runs += random() < 1 / 3 ? 3 : 0;
    }
    return runs;
  });
}

/**
 * Returns the capacity that remains: the domains in turn fail for one second of every six, and one
 * loses its spot targets every 40 s.
 */
function capacityLeft(counts: ReadonlyMap<string, TargetCounts>, second: number): number {
  const down = second % 6 === 0 ? DOMAINS[(second / 6) % 3] : undefined;
  const withoutSpot = second % 40 < 10 ? DOMAINS[Math.floor(second / 40) % 3] : undefined;
  let left = 0;
  for (const [name, { plain, spot }] of counts) {
    left += name === down ? 0.1 * (plain + spot) : plain + (name === withoutSpot ? 0 : spot);
  }
  return left;
}

/** Simulates one load. */
export function simulateStrategy(
  strategy: OrderStrategy,
  forecast: Forecast,
  seed: number,
): StrategyCost {
  const loads = generateLoad(seed);
  const cost: StrategyCost = { price: 0, targetSeconds: 0, lateRuns: 0, orders: 0 };
  const ordered: ReadonlyMap<string, TargetCounts>[] = [];
  let scaleDown: ScaleDownState = { needed: 0, peakNeed: 0, sinceMs: 0, isScalingDown: false };
  let backlog = 0;
  loads.forEach((load, second) => {
    const seen = loads.slice(Math.max(0, second - WINDOW_SECONDS), second);
    const needed = Math.ceil((forecast(seen) * TARGET_SECONDS_PER_RUN) / POLICY.load);
    scaleDown = limitScaleDown(scaleDown, needed, second * 1_000);
    const counts = second < WINDOW_SECONDS ? evenly(28, 0) : strategy(scaleDown.needed);
    cost.orders += countOrders(ordered.at(-1), counts);
    ordered.push(counts);
    const serving = ordered[Math.max(0, second - BOOT_SECONDS)] ?? counts;
    for (const [domain, { plain, spot }] of counts) {
      const price = targetPrices({ scaling: SCALING }, domain);
      cost.price += plain * price.plain + spot * price.spot;
      cost.targetSeconds += plain + spot;
    }
    const left = capacityLeft(serving, second);
    backlog = Math.max(0, backlog + load * TARGET_SECONDS_PER_RUN - left);
    const late = Math.max(0, backlog - left * MAX_BACKLOG_SECONDS);
    cost.lateRuns += late / TARGET_SECONDS_PER_RUN;
    backlog -= late;
  });
  return cost;
}

function countOrders(
  before: ReadonlyMap<string, TargetCounts> | undefined,
  after: ReadonlyMap<string, TargetCounts>,
): number {
  let orders = 0;
  for (const [name, { plain, spot }] of after) {
    const old = before?.get(name) ?? { plain: 28, spot: 0 };
    orders += Number(old.plain !== plain) + Number(old.spot !== spot);
  }
  return orders;
}
