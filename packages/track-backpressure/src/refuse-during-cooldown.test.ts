import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { findEarliestCooldownEnd, refuseDuringCooldown } from './index.js';

const wait = { untilMs: 1_000, now: 400, jitterMs: 50 };

const cool = (...ends: (number | undefined)[]) =>
  ends.map((untilMs, index) => ({ target: `t${index}`, untilMs }));

test('no request is refused while a target is available, or while none is known', () => {
  assert.is(refuseDuringCooldown({ ...wait, cooldowns: cool(5_000, undefined) }), undefined);
  assert.is(refuseDuringCooldown({ ...wait, cooldowns: cool() }), undefined);
});

test('a request waits if a cooldown ends in time, and is refused with a retry time otherwise', () => {
  assert.is(refuseDuringCooldown({ ...wait, cooldowns: cool(5_000, 900) }), undefined);
  assert.equal(refuseDuringCooldown({ ...wait, cooldowns: cool(5_000, 1_000) }), {
    kind: 'cooling',
    retryAfterMs: 650,
    targets: ['t0', 't1'],
  });
});

test('the earliest end is found only if all targets are in a cooldown', () => {
  assert.equal(findEarliestCooldownEnd(cool(5_000, 900)), { target: 't1', untilMs: 900 });
  assert.is(findEarliestCooldownEnd(cool(5_000, undefined)), undefined);
  assert.is(findEarliestCooldownEnd([]), undefined);
});

test.run();
