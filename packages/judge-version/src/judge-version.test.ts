import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  EvidenceTable,
  ProportionTest,
  OutcomeCounter,
  VersionJudge,
  type RouteOutcomeCounts,
} from './index.js';

/** Outcome counts of one route in which every n-th answer of a version is bad or slow. */
function countsOf(
  sends: Partial<
    Record<'trial' | 'active', { answers: number; badEvery?: number; slowEvery?: number }>
  >,
  route = 'r',
): RouteOutcomeCounts[] {
  const counts = new OutcomeCounter();
  for (const [version, { answers, badEvery = Infinity, slowEvery = Infinity }] of Object.entries(
    sends,
  )) {
    for (let number = 1; number <= answers; number += 1) {
      const isGood = number % badEvery !== 0;
      const afterMs = number % slowEvery === 0 ? 500 : 100 + (number % 20);
      counts.record({ route, isTrial: version === 'trial', isGood, afterMs });
    }
  }
  return counts.snapshot();
}

const BASELINE = { answers: 400, badEvery: 10 };

for (const [name, createJudge] of [
  ['ratio', () => new VersionJudge()],
  ['proportions', () => new VersionJudge(() => new ProportionTest())],
] as const) {
  test(`${name}: the same share of failures on both sides is not bad`, () => {
    assert.is(
      createJudge().evaluate(
        0,
        countsOf({ active: BASELINE, trial: { answers: 100, badEvery: 10 } }),
      ),
      undefined,
    );
  });

  test(`${name}: more failures than the active version are bad`, () => {
    const verdict = createJudge().evaluate(
      0,
      countsOf({ active: BASELINE, trial: { answers: 60, badEvery: 2 } }),
    );
    assert.equal(verdict, { cause: 'failures', route: 'r', good: 30, bad: 30 });
  });

  test(`${name}: answers several times slower are bad`, () => {
    const verdict = createJudge().evaluate(
      0,
      countsOf({ active: BASELINE, trial: { answers: 60, slowEvery: 3 } }),
    );
    assert.is(verdict?.cause, 'times');
  });

  test(`${name}: a bad route is found beside a good one`, () => {
    const bad = countsOf({ active: BASELINE, trial: { answers: 40, badEvery: 2 } }, 'bad');
    const good = countsOf({ active: BASELINE, trial: { answers: 900 } }, 'good');
    assert.is(createJudge().evaluate(0, [...good, ...bad])?.route, 'bad');
  });

  test(`${name}: no verdict without answers of the active version`, () => {
    assert.is(
      createJudge().evaluate(0, countsOf({ trial: { answers: 60, badEvery: 2 } })),
      undefined,
    );
  });
}

test('a version that turns bad late is found despite earlier good answers', () => {
  const judge = new VersionJudge();
  assert.is(
    judge.evaluate(0, countsOf({ active: BASELINE, trial: { answers: 2_000, badEvery: 10 } })),
    undefined,
  );
  const later = new OutcomeCounter();
  later.add(
    countsOf({ active: { answers: 800, badEvery: 10 }, trial: { answers: 2_000, badEvery: 10 } }),
  );
  later.add(countsOf({ trial: { answers: 30, badEvery: 2 } }));
  assert.is(judge.evaluate(1_000, later.snapshot())?.cause, 'failures');
});

test('answers from before the first baseline are judged once there is one', () => {
  const judge = new VersionJudge();
  const trial = { answers: 60, badEvery: 2 };
  assert.is(judge.evaluate(0, countsOf({ trial })), undefined);
  assert.is(judge.evaluate(500, countsOf({ trial, active: BASELINE }))?.cause, 'failures');
});

test('each incarnation counts once, and late or repeated counts change nothing', () => {
  const table = new EvidenceTable();
  table.record('vm/1', countsOf({ trial: { answers: 5 } }));
  table.record('vm/1', countsOf({ trial: { answers: 9 } }));
  table.record('vm/1', countsOf({ trial: { answers: 5 } }));
  table.record('vm/2', countsOf({ trial: { answers: 3 } }));
  const [total] = table.total();
  assert.is((total?.good ?? 0) + (total?.bad ?? 0), 12);
});

test.run();
