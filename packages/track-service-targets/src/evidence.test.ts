import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { NO_EVIDENCE, observeTarget } from './index.js';

test('a shorter pause of a full target does not cut a longer one short', () => {
  const longer = observeTarget(NO_EVIDENCE, { kind: 'full', pauseMs: 60 }, 100);
  assert.is(observeTarget(longer, { kind: 'full', pauseMs: 25 }, 110).fullUntilMs, 160);
  assert.is(observeTarget(longer, { kind: 'full', pauseMs: 60 }, 110).fullUntilMs, 170);
});

test.run();
