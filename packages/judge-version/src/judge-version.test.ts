import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { EvidenceTable, ProportionTest, SendSums, VersionJudge, type RouteSums } from './index.js';

/** Sums of one route in which each so-manieth answer of a version is bad or slow. */
function sumsOf(
  sends: Partial<
    Record<'trial' | 'force', { answers: number; badEach?: number; slowEach?: number }>
  >,
  route = 'r',
): RouteSums[] {
  const sums = new SendSums();
  for (const [version, { answers, badEach = Infinity, slowEach = Infinity }] of Object.entries(
    sends,
  )) {
    for (let number = 1; number <= answers; number += 1) {
      const isGood = number % badEach !== 0;
      const afterMs = number % slowEach === 0 ? 500 : 100 + (number % 20);
      sums.record({ route, isTrial: version === 'trial', isGood, afterMs });
    }
  }
  return sums.snapshot();
}

const FORCE = { answers: 400, badEach: 10 };

for (const [name, judge] of [
  ['ratio', () => new VersionJudge()],
  ['proportions', () => new VersionJudge(() => new ProportionTest())],
] as const) {
  test(`${name}: a tenth of failures on both sides is no fault`, () => {
    assert.is(
      judge().evaluate(0, sumsOf({ force: FORCE, trial: { answers: 100, badEach: 10 } })),
      undefined,
    );
  });

  test(`${name}: more failures than the version in force are one`, () => {
    const verdict = judge().evaluate(
      0,
      sumsOf({ force: FORCE, trial: { answers: 60, badEach: 2 } }),
    );
    assert.equal(verdict, { cause: 'failures', route: 'r', good: 30, bad: 30 });
  });

  test(`${name}: answers that come several times slower are one`, () => {
    const verdict = judge().evaluate(
      0,
      sumsOf({ force: FORCE, trial: { answers: 60, slowEach: 3 } }),
    );
    assert.is(verdict?.cause, 'times');
  });

  test(`${name}: badness on one route shows beside a good one`, () => {
    const bad = sumsOf({ force: FORCE, trial: { answers: 40, badEach: 2 } }, 'bad');
    const good = sumsOf({ force: FORCE, trial: { answers: 900 } }, 'good');
    assert.is(judge().evaluate(0, [...good, ...bad])?.route, 'bad');
  });

  test(`${name}: nothing is said without answers in force`, () => {
    assert.is(judge().evaluate(0, sumsOf({ trial: { answers: 60, badEach: 2 } })), undefined);
  });
}

test('a version that turns bad late is found whatever it brought before', () => {
  const judge = new VersionJudge();
  assert.is(
    judge.evaluate(0, sumsOf({ force: FORCE, trial: { answers: 2_000, badEach: 10 } })),
    undefined,
  );
  const later = new SendSums();
  later.add(
    sumsOf({ force: { answers: 800, badEach: 10 }, trial: { answers: 2_000, badEach: 10 } }),
  );
  later.add(sumsOf({ trial: { answers: 30, badEach: 2 } }));
  assert.is(judge.evaluate(1_000, later.snapshot())?.cause, 'failures');
});

test('what came with no answers in force is judged once there are some', () => {
  const judge = new VersionJudge();
  const trial = { answers: 60, badEach: 2 };
  assert.is(judge.evaluate(0, sumsOf({ trial })), undefined);
  assert.is(judge.evaluate(500, sumsOf({ trial, force: FORCE }))?.cause, 'failures');
});

test('each incarnation counts once, late and repeated sums change nothing', () => {
  const book = new EvidenceTable();
  book.record('vm/1', sumsOf({ trial: { answers: 5 } }));
  book.record('vm/1', sumsOf({ trial: { answers: 9 } }));
  book.record('vm/1', sumsOf({ trial: { answers: 5 } }));
  book.record('vm/2', sumsOf({ trial: { answers: 3 } }));
  const [total] = book.total();
  assert.is((total?.good ?? 0) + (total?.bad ?? 0), 12);
});

test.run();
