/** Guards against scheduling changes that make first tokens later under recorded loads. */
import * as E from 'fp-ts/lib/Either.js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { decodeMix, planArrivals, type Arrival } from './index.js';
import replayLoad, {
  type ReplayFleet,
  type ReplayOutage,
  type ReplayResult,
} from './replay-load.fixture.js';

const SEEDS = [1, 2, 3];
const FLEET: Omit<ReplayFleet, 'targets'> = {
  vms: 9,
  failureDomains: ['north', 'middle', 'south'],
  slots: 96,
  promptCharactersPerMs: 8,
  msPerToken: 4.63,
  firstTokenObjectiveMs: 4_500,
  deadlineMs: 25_000,
};

function planLoad(name: string, seed: number): Arrival[] {
  const file = fileURLToPath(new URL(`../patterns/${name}.jsonc`, import.meta.url));
  const mix = decodeMix(file, readFileSync(file, 'utf8'));
  if (E.isLeft(mix)) {
    throw new Error(mix.left.message);
  }
  const generator = xoroshiro128plus(seed);
  return planArrivals(mix.right, { next: () => uniformFloat64(generator) }, name);
}

function replaySeeds(name: string, targets: number, outages: ReplayOutage[] = []): ReplayResult {
  const results = SEEDS.map((seed) =>
    replayLoad(planLoad(name, seed), { ...FLEET, targets }, outages),
  );
  const sum = (select: (result: ReplayResult) => number): number =>
    results.reduce((total, result) => total + select(result), 0);
  return {
    arrived: sum(({ arrived }) => arrived),
    withinObjective: sum(({ withinObjective }) => withinObjective),
    late: sum(({ late }) => late),
    lost: sum(({ lost }) => lost),
    maxSlotWaitMs: Math.max(...results.map(({ maxSlotWaitMs }) => maxSlotWaitMs)),
    maxPromptsInPrefill: Math.max(...results.map(({ maxPromptsInPrefill }) => maxPromptsInPrefill)),
  };
}

/** Checks, by number of targets, how many requests of all seeds had a first token within the objective. */
function assertWithinObjective(
  name: string,
  minimums: Record<number, number>,
  outages?: ReplayOutage[],
): void {
  for (const [targets, minimum] of Object.entries(minimums)) {
    const result = replaySeeds(name, Number(targets), outages);
    assert.ok(
      result.withinObjective >= minimum,
      `${targets} targets: ${result.withinObjective} in time`,
    );
    assert.is(result.lost, 0, `${targets} targets: ${result.lost} lost`);
  }
}

test('a burst of long prompts delays answers and loses none', () => {
  assertWithinObjective('long-prompt-burst', { 9: 416, 12: 708, 15: 877, 24: 886 });
});

test('a surge of one organisation delays answers and loses none', () => {
  assertWithinObjective('one-organisation', { 9: 316, 12: 631, 15: 701, 24: 706 });
});

test('repeated outages of one failure domain delay few answers while prefill capacity is left', () => {
  const outages = [6_000, 12_000, 18_000].map((fromMs) => ({
    fromMs,
    toMs: fromMs + 1_200,
    failureDomain: 'north',
  }));
  assertWithinObjective('long-prompt-burst', { 15: 862, 24: 885 }, outages);
});

test.run();
