/**
 * Compares two ways to spread calls past targets that shed; prints a row of a table for each case:
 * node packages/load/dist/compare-sheds.fixture.js
 */
import playShedFleet, { type ShedPlan, type ShedResult } from './shed-fleet.fixture.js';

const SEEDS = [1, 2, 3];
const FLEETS = [
  { vms: 6, targets: 8 },
  { vms: 88, targets: 24 },
  { vms: 195, targets: 48 },
];

function sum(plan: Omit<ShedPlan, 'seed'>): ShedResult {
  const results = SEEDS.map((seed) => playShedFleet({ ...plan, seed }));
  return results.reduce((total, one) => {
    const keys = Object.keys(total) as (keyof ShedResult)[];
    return Object.fromEntries(keys.map((key) => [key, total[key] + one[key]])) as never;
  });
}

for (const fleet of FLEETS) {
  for (const sheddingTargets of [0.25, 0.5, 1]) {
    for (const shedShare of [0.1, 0.5, 1]) {
      for (const tellsOthers of [false, true]) {
        const r = sum({ ...fleet, sheddingTargets, shedShare, tellsOthers });
        const share = (count: number): string => (count / r.calls).toFixed(3);
        const cells = [fleet.vms, fleet.targets, sheddingTargets, shedShare];
        const way = tellsOthers ? 'told to all' : 'each VM alone';
        const figures = [r.inTime, r.served, r.refused, r.sheds, r.repeats].map(share);
        const hints = Math.round(r.hints / SEEDS.length);
        console.log(`| ${[...cells, way, ...figures, hints, r.unwanted].join(' | ')} |`);
      }
    }
  }
}
