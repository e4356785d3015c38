/**
 * Compares the placement of streams by slots, by memory, and by memory and pace. Prints a table row
 * per case: node packages/load/dist/compare-placements.fixture.js
 */
import type { PlacementPlan, PlacementResult, PlacementVariant } from './placement-plan.fixture.js';
import replayPlacement from './placement-replay.fixture.js';

const SEEDS = [1, 2, 3];
const VARIANTS: readonly PlacementVariant[] = ['slots', 'memory', 'memory-and-pace'];

type Case = Omit<PlacementPlan, 'variant' | 'seed'>;

const H: Case = {
  ...{ vms: 30, engines: 126, domains: 4, slots: 32, streamsPerSecond: 33.5 },
  ...{ outputTokens: 780, msPerOutputToken: 4.84, objectiveMs: 4_506 },
  ...{ longShare: 0, firstDomainShare: 0.25, hasDomainLosses: false, hasSlowTargets: true },
};
const Q: Case = {
  ...{ vms: 71, engines: 84, domains: 3, slots: 64, streamsPerSecond: 19.6 },
  ...{ outputTokens: 840, msPerOutputToken: 4.37, objectiveMs: 4_013 },
  ...{ longShare: 0, firstDomainShare: 1 / 3, hasDomainLosses: true, hasSlowTargets: false },
};
const CASES: Readonly<Record<string, Case>> = {
  H: H,
  'H, domain losses': { ...H, hasDomainLosses: true },
  'H, domain losses, a tenth of long prompts': { ...H, hasDomainLosses: true, longShare: 0.1 },
  'H with 72 engines, domain losses': { ...H, engines: 72, hasDomainLosses: true },
  'H, a tenth of long prompts': { ...H, longShare: 0.1 },
  'H, half of the demand in one domain': { ...H, firstDomainShare: 0.5 },
  'H with 72 engines': { ...H, engines: 72 },
  'H with 72 engines, half of the demand in one domain': {
    ...{ ...H, engines: 72, firstDomainShare: 0.5 },
  },
  'Q, domain losses': Q,
};

function sumOverSeeds(plan: Omit<PlacementPlan, 'seed'>): PlacementResult {
  const results = SEEDS.map((seed) => replayPlacement({ ...plan, seed }));
  const sum = (key: keyof PlacementResult): number =>
    results.reduce((total, result) => total + result[key], 0);
  const keys = Object.keys(results[0] ?? {}) as (keyof PlacementResult)[];
  const sums = Object.fromEntries(keys.map((key) => [key, sum(key)])) as never as PlacementResult;
  return { ...sums, maxMemoryShare: Math.max(...results.map((one) => one.maxMemoryShare)) };
}

for (const [name, one] of Object.entries(CASES)) {
  for (const variant of VARIANTS) {
    const result = sumOverSeeds({ ...one, variant });
    const share = (count: number): string => (count / result.streams).toFixed(3);
    const perThousand = (tokens: number): string => `${Math.round(tokens / 1_000)} k`;
    const cells = [
      ...[
        name,
        variant,
        result.streams,
        share(result.inTime),
        share(result.whole),
        share(result.limited),
      ],
      ...[share(result.elsewhere), share(result.replicas), result.maxMemoryShare.toFixed(2)],
      ...[result.preemptions, perThousand(result.wastedTokens)],
      perThousand(result.repeatedTokens),
    ];
    console.log(`| ${cells.join(' | ')} |`);
  }
}
