import { test } from 'uvu';
import * as assert from 'uvu/assert';
import planDomains from './plan-domains.js';
import type { CapacityInputs, TargetCounts } from './types.js';

const DOMAINS = ['a', 'b', 'c'].map((name) => ({ name }));
const INPUTS: CapacityInputs = {
  domains: DOMAINS,
  scaling: { min: 1, max: 56, bootMs: 4_000, spotPrice: 0.15, domainPrices: {} },
  policy: { load: 0.9, usesSpot: true, plainFloor: 1, lateRunsPerTargetSecond: 0.01 },
  needed: 28,
  runsPerSecond: 18,
};

function totals(counts: ReadonlyMap<string, TargetCounts>): number[] {
  return [...counts.values()].map(({ plain, spot }) => plain + spot);
}

function sumOf(counts: ReadonlyMap<string, TargetCounts>): number {
  return totals(counts).reduce((sum, total) => sum + total, 0);
}

function withSpotLimits(...limits: number[]) {
  return DOMAINS.map(({ name }, index) => ({ name, maxSpot: limits[index] ?? 0 }));
}

test('the plan tolerates the loss of a domain and of the spot targets of another', () => {
  const { counts, cover, lateRunsPerSecond } = planDomains(INPUTS);
  assert.is(cover, 'two-losses');
  assert.is(lateRunsPerSecond, 0);
  for (const down of counts.keys()) {
    for (const reclaimed of [...counts.keys()].filter((name) => name !== down)) {
      let remaining = 0;
      counts.forEach(({ plain, spot }, name) => {
        remaining += name === down ? 0 : plain + (name === reclaimed ? 0 : spot);
      });
      assert.ok(
        remaining >= INPUTS.needed,
        `${remaining} remaining without ${down} and ${reclaimed}`,
      );
    }
  }
});

test('a reserve that costs more than the late runs it prevents is not planned', () => {
  const policy = { ...INPUTS.policy, lateRunsPerTargetSecond: 100 };
  assert.is(planDomains({ ...INPUTS, policy }).cover, 'none');
});

test('only plain targets are planned if spot targets are not allowed or not offered', () => {
  const policy = { ...INPUTS.policy, usesSpot: false };
  const scaling = { ...INPUTS.scaling, spotPrice: undefined };
  for (const inputs of [
    { ...INPUTS, policy },
    { ...INPUTS, scaling },
  ]) {
    const { counts } = planDomains(inputs);
    assert.equal(
      [...counts.values()].map(({ spot }) => spot),
      [0, 0, 0],
    );
    assert.ok(totals(counts).reduce((sum, total) => sum + total, 0) >= INPUTS.needed);
  }
});

test('spot targets unavailable in one domain are planned in the others', () => {
  const full = sumOf(planDomains(INPUTS).counts);
  const domains = DOMAINS.map(({ name }) => (name === 'b' ? { name, maxSpot: 0 } : { name }));
  const { counts } = planDomains({ ...INPUTS, domains });
  assert.is(counts.get('b')?.spot, 0);
  assert.ok(sumOf(counts) >= full);
});

test('with no spot targets available, plain ones are added only to prevent late runs', () => {
  const kept = planDomains({ ...INPUTS, domains: withSpotLimits(27, 27, 0) }).counts;
  assert.equal(
    [...kept.values()].map(({ plain }) => plain),
    [1, 1, 1],
  );
  assert.equal(
    [...kept.values()].map(({ spot }) => spot),
    [26, 26, 0],
  );
  const oneDomainLeft = planDomains({ ...INPUTS, domains: withSpotLimits(27, 0, 0) }).counts;
  const elsewhere =
    sumOf(oneDomainLeft) -
    (oneDomainLeft.get('a')?.spot ?? 0) -
    (oneDomainLeft.get('a')?.plain ?? 0);
  assert.ok(elsewhere >= INPUTS.needed, `${elsewhere} carry the load if a dies`);
  const noneLeft = planDomains({ ...INPUTS, domains: withSpotLimits(0, 0, 0) }).counts;
  assert.ok(sumOf(noneLeft) >= INPUTS.needed);
});

test('a single domain uses plain targets only, which are not reclaimed together', () => {
  const { counts } = planDomains({ ...INPUTS, domains: DOMAINS.slice(0, 1) });
  assert.is(counts.get('a')?.plain, INPUTS.needed);
});

test('target counts stay between the bounds, also when these are equal', () => {
  for (const [min, max] of [
    [5, 5],
    [40, 56],
    [1, 3],
  ] as const) {
    const { counts } = planDomains({ ...INPUTS, scaling: { ...INPUTS.scaling, min, max } });
    totals(counts).forEach((total) => assert.ok(total >= min && total <= max, `${total}`));
  }
});

test('no domains give an empty plan', () => {
  assert.is(planDomains({ ...INPUTS, domains: [] }).counts.size, 0);
});

test.run();
