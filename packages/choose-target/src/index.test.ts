import { createTargetTable, type TrackedTarget } from '@limelead/track-targets';
import type { LoadReport, Random } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import chooseTarget, { estimateCost, type RoutingCriteria } from './index.js';

const request: RoutingCriteria = {
  prefixHashes: [],
  inputTokens: 100,
  failureDomain: 'suwon',
  exclude: [],
  meanAnswerTokens: 64,
  now: 0,
};

function seeded(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

function report(running: number): LoadReport {
  return {
    takenAtMs: 0,
    running,
    waiting: 0,
    slots: 8,
    tokenGapMs: 30,
    prefillTokensPerSecond: 10_000,
    loaded: [],
    fence: 0,
  };
}

function createTargets(loads: number[]): TrackedTarget[] {
  const table = createTargetTable({ maxListAgeMs: 1_000 });
  const vms = loads.map((_, index) => ({
    id: `e${index}`,
    role: 'engine' as const,
    host: '127.0.0.1',
    port: index + 1,
    failureDomain: index % 2 === 0 ? 'suwon' : 'osan',
    leaving: false,
    services: [],
  }));
  table.applyList({ version: 1, vms }, 0);
  loads.forEach((load, index) => table.applyReport(`e${index}`, report(load), 0));
  return table.all();
}

test('an excluded target is not chosen, and none is chosen if all are excluded', () => {
  const targets = createTargets([0, 5]);
  const choice = chooseTarget(targets, { ...request, exclude: ['e0'] }, seeded(1));
  assert.is(choice?.target.id, 'e1');
  assert.is(chooseTarget(targets, { ...request, exclude: ['e0', 'e1'] }, seeded(1)), undefined);
});

test('a target that has the prompt cached is preferred until it is busy', () => {
  const targets = createTargets([0, 0, 0, 0]);
  const cached = targets[3];
  cached?.prefixes.add('p2');
  const long = { ...request, prefixHashes: ['p1', 'p2'], inputTokens: 5_000 };
  assert.is(chooseTarget(targets, long, seeded(1))?.target.id, 'e3');
  if (cached?.report !== undefined) {
    cached.report.waiting = 200;
  }
  assert.is.not(chooseTarget(targets, long, seeded(1))?.target.id, 'e3');
});

test('a target with an overdue report is chosen only if the others are worse', () => {
  const targets = createTargets([0, 3]);
  const [silent] = targets;
  assert.ok(silent);
  silent.reportAtMs = -3_000;
  assert.is(chooseTarget(targets, request, seeded(1))?.target.id, 'e1');
});

test('requests sent since the report add to the load', () => {
  const targets = createTargets([2, 3]);
  const [first, second] = targets;
  if (first === undefined || second === undefined) {
    throw new Error('expected two targets');
  }
  assert.ok(estimateCost(first, request).costMs < estimateCost(second, request).costMs + 4);
  first.sentAtMs = Array.from({ length: 30 }, () => 1);
  assert.ok(estimateCost(first, request).costMs > estimateCost(second, request).costMs);
});

test('VMs with the same report do not all choose the target that looks idle', () => {
  const loads = [0, ...Array.from({ length: 16 }, () => 4)];
  const taken = new Map<string, number>();
  for (let vm = 0; vm < 7; vm += 1) {
    const targets = createTargets(loads);
    const random = seeded(vm + 1);
    for (let sent = 0; sent < 10; sent += 1) {
      const target = chooseTarget(targets, request, random)?.target;
      target?.sentAtMs.push(1);
      taken.set(target?.id ?? '', (taken.get(target?.id ?? '') ?? 0) + 1);
    }
  }
  // Choosing the least loaded target by report would send all 70 there.
  assert.ok((taken.get('e0') ?? 0) <= 20, `e0 got ${taken.get('e0')} of 70`);
});

test.run();
