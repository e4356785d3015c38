import { test } from 'uvu';
import * as assert from 'uvu/assert';
import toRollOutBounds from './roll-out-bounds.js';

test('missing bounds get defaults, given ones are kept', () => {
  const defaults = { exposureShare: 0.1, exposureSlack: 50, rollBackMs: 5_000 };
  assert.equal(toRollOutBounds({}), defaults);
  assert.equal(toRollOutBounds({ exposureSlack: 0, exposureShare: null }), {
    ...defaults,
    exposureSlack: 0,
  });
  assert.is(toRollOutBounds({ rollBackMilliseconds: 700 }).rollBackMs, 700);
});

test.run();
