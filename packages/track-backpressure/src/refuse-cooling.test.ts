import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { findFirstEnd, refuseCooling } from './index.js';

const wait = { untilMs: 1_000, now: 400, spreadMs: 50 };

const cool = (...ends: (number | undefined)[]) =>
  ends.map((untilMs, index) => ({ target: `t${index}`, untilMs }));

test('nothing is refused while a target is available, or none is known', () => {
  assert.is(refuseCooling({ ...wait, cooldowns: cool(5_000, undefined) }), undefined);
  assert.is(refuseCooling({ ...wait, cooldowns: cool() }), undefined);
});

test('what the first target can serve in time waits; else the caller is told when', () => {
  assert.is(refuseCooling({ ...wait, cooldowns: cool(5_000, 900) }), undefined);
  assert.equal(refuseCooling({ ...wait, cooldowns: cool(5_000, 1_000) }), {
    kind: 'cooling',
    retryAfterMs: 650,
    targets: ['t0', 't1'],
  });
});

test('the first end counts, while no target is without a cooldown', () => {
  assert.equal(findFirstEnd(cool(5_000, 900)), { target: 't1', untilMs: 900 });
  assert.is(findFirstEnd(cool(5_000, undefined)), undefined);
  assert.is(findFirstEnd([]), undefined);
});

test.run();
