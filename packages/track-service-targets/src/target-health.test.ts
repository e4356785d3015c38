import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { INITIAL_HEALTH, applyObservation } from './index.js';

test('a shorter pause of a full target does not shorten a longer one', () => {
  const longer = applyObservation(INITIAL_HEALTH, { kind: 'full', pauseMs: 60 }, 100);
  assert.is(applyObservation(longer, { kind: 'full', pauseMs: 25 }, 110).fullUntilMs, 160);
  assert.is(applyObservation(longer, { kind: 'full', pauseMs: 60 }, 110).fullUntilMs, 170);
});

test.run();
