/**
 * What callers got of recorded loads before any change to how work waits: a change of the
 * policy has to be no worse here. Sums of three seeds.
 */
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
/** Nine VMs in three domains; engines read a prompt of 8,000 in a second. */
const FLEET: Omit<ReplayFleet, 'targets'> = {
  vms: 9,
  failureDomains: ['north', 'middle', 'south'],
  slots: 96,
  readPerMs: 8,
  tokenMs: 4.63,
  objectiveMs: 4_500,
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

function replayAll(name: string, targets: number, outages: ReplayOutage[] = []): ReplayResult {
  const results = SEEDS.map((seed) =>
    replayLoad(planLoad(name, seed), { ...FLEET, targets }, outages),
  );
  const sum = (read: (result: ReplayResult) => number): number =>
    results.reduce((total, result) => total + read(result), 0);
  return {
    arrived: sum(({ arrived }) => arrived),
    inTime: sum(({ inTime }) => inTime),
    late: sum(({ late }) => late),
    lost: sum(({ lost }) => lost),
    longestWaitMs: Math.max(...results.map(({ longestWaitMs }) => longestWaitMs)),
    mostReading: Math.max(...results.map(({ mostReading }) => mostReading)),
  };
}

/** By number of targets: requests that had their first token within the objective. */
function assertInTime(name: string, least: Record<number, number>, outages?: ReplayOutage[]): void {
  for (const [targets, inTime] of Object.entries(least)) {
    const result = replayAll(name, Number(targets), outages);
    assert.ok(result.inTime >= inTime, `${targets} targets: ${result.inTime} in time`);
    assert.is(result.lost, 0, `${targets} targets: ${result.lost} lost`);
  }
}

/**
 * The usual load keeps 8.4 targets reading, the burst 16.7. No request waits for a place, of
 * which there are 96 a target: prompts wait to be read, up to 14 at one target.
 */
test('a burst of long prompts makes answers late and loses none', () => {
  assertInTime('long-prompt-burst', { 9: 416, 12: 708, 15: 877, 24: 886 });
});

test('one organisation at seven and a half times its usual makes answers late and loses none', () => {
  assertInTime('one-organisation', { 9: 316, 12: 631, 15: 701, 24: 706 });
});

test('a domain whose targets are away by turns costs little where reading has room', () => {
  const outages = [6_000, 12_000, 18_000].map((fromMs) => ({
    fromMs,
    toMs: fromMs + 1_200,
    failureDomain: 'north',
  }));
  assertInTime('long-prompt-burst', { 15: 862, 24: 885 }, outages);
});

test.run();
