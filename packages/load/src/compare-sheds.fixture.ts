/**
 * Compares load shedding with and without cooldowns shared between VMs. Prints a table row per case:
 * node packages/load/dist/compare-sheds.fixture.js
 */
import simulateLoadShedding, {
  type LoadSheddingPlan,
  type LoadSheddingResult,
} from './load-shedding.fixture.js';

const SEEDS = [1, 2, 3];
const FLEETS = [
  { vms: 6, targets: 8 },
  { vms: 88, targets: 24 },
  { vms: 195, targets: 48 },
];

function sumOverSeeds(plan: Omit<LoadSheddingPlan, 'seed'>): LoadSheddingResult {
  const results = SEEDS.map((seed) => simulateLoadShedding({ ...plan, seed }));
  return results.reduce((total, one) => {
    const keys = Object.keys(total) as (keyof LoadSheddingResult)[];
    return Object.fromEntries(keys.map((key) => [key, total[key] + one[key]])) as never;
  });
}

for (const fleet of FLEETS) {
  for (const sheddingTargetShare of [0.25, 0.5, 1]) {
    for (const rejectedShare of [0.1, 0.5, 1]) {
      for (const publishesCooldowns of [false, true]) {
        const result = sumOverSeeds({
          ...fleet,
          sheddingTargetShare,
          rejectedShare,
          publishesCooldowns,
        });
        const share = (count: number): string => (count / result.calls).toFixed(3);
        const cells = [fleet.vms, fleet.targets, sheddingTargetShare, rejectedShare];
        const mode = publishesCooldowns ? 'told to all' : 'each VM alone';
        const figures = [
          result.withinObjective,
          result.served,
          result.refused,
          result.rejections,
          result.retries,
        ].map(share);
        const hintsPerRun = Math.round(result.hintsSent / SEEDS.length);
        console.log(
          `| ${[...cells, mode, ...figures, hintsPerRun, result.sendsDuringCooldown].join(' | ')} |`,
        );
      }
    }
  }
}
