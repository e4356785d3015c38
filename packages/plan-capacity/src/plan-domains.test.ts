import { test } from 'uvu';
import * as assert from 'uvu/assert';
import planDomains from './plan-domains.js';
import type { CapacityInputs, TargetCounts } from './types.js';

const DOMAINS = ['a', 'b', 'c'].map((name) => ({ name }));
const QUESTION: CapacityInputs = {
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

function dryWith(...most: number[]) {
  return DOMAINS.map(({ name }, index) => ({ name, mostSpot: most[index] ?? 0 }));
}

test('any domain may die while the spot targets of another are away', () => {
  const { counts, cover, lateRunsPerSecond } = planDomains(QUESTION);
  assert.is(cover, 'two-losses');
  assert.is(lateRunsPerSecond, 0);
  for (const down of counts.keys()) {
    for (const away of [...counts.keys()].filter((name) => name !== down)) {
      let left = 0;
      counts.forEach(({ plain, spot }, name) => {
        left += name === down ? 0 : plain + (name === away ? 0 : spot);
      });
      assert.ok(left >= QUESTION.needed, `${left} left without ${down} and ${away}`);
    }
  }
});

test('a reserve that costs more than the late runs that it saves is not ordered', () => {
  const policy = { ...QUESTION.policy, lateRunsPerTargetSecond: 100 };
  assert.is(planDomains({ ...QUESTION, policy }).cover, 'none');
});

test('where no spot targets may be used, or there are none, all are plain', () => {
  const policy = { ...QUESTION.policy, usesSpot: false };
  const scaling = { ...QUESTION.scaling, spotPrice: undefined };
  for (const question of [
    { ...QUESTION, policy },
    { ...QUESTION, scaling },
  ]) {
    const { counts } = planDomains(question);
    assert.equal(
      [...counts.values()].map(({ spot }) => spot),
      [0, 0, 0],
    );
    assert.ok(totals(counts).reduce((sum, total) => sum + total, 0) >= QUESTION.needed);
  }
});

test('what a dry domain can not give is ordered in the others', () => {
  const full = sumOf(planDomains(QUESTION).counts);
  const domains = DOMAINS.map(({ name }) => (name === 'b' ? { name, mostSpot: 0 } : { name }));
  const { counts } = planDomains({ ...QUESTION, domains });
  assert.is(counts.get('b')?.spot, 0);
  assert.ok(sumOf(counts) >= full);
});

test('where all are dry, plain ones come in only for runs that would be late', () => {
  const stay = planDomains({ ...QUESTION, domains: dryWith(27, 27, 0) }).counts;
  assert.equal(
    [...stay.values()].map(({ plain }) => plain),
    [1, 1, 1],
  );
  assert.equal(
    [...stay.values()].map(({ spot }) => spot),
    [26, 26, 0],
  );
  const alone = planDomains({ ...QUESTION, domains: dryWith(27, 0, 0) }).counts;
  const elsewhere = sumOf(alone) - (alone.get('a')?.spot ?? 0) - (alone.get('a')?.plain ?? 0);
  assert.ok(elsewhere >= QUESTION.needed, `${elsewhere} carry the load if a dies`);
  const lost = planDomains({ ...QUESTION, domains: dryWith(0, 0, 0) }).counts;
  assert.ok(sumOf(lost) >= QUESTION.needed);
});

test('one domain alone keeps its load on plain targets, which nothing takes away together', () => {
  const { counts } = planDomains({ ...QUESTION, domains: DOMAINS.slice(0, 1) });
  assert.is(counts.get('a')?.plain, QUESTION.needed);
});

test('numbers stay between the bounds, also where these are equal', () => {
  for (const [min, max] of [
    [5, 5],
    [40, 56],
    [1, 3],
  ] as const) {
    const { counts } = planDomains({ ...QUESTION, scaling: { ...QUESTION.scaling, min, max } });
    totals(counts).forEach((total) => assert.ok(total >= min && total <= max, `${total}`));
  }
});

test('without any domain nothing is planned', () => {
  assert.is(planDomains({ ...QUESTION, domains: [] }).counts.size, 0);
});

test.run();
