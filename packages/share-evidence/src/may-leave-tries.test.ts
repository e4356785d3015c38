import { test } from 'uvu';
import * as assert from 'uvu/assert';
import mayLeaveTries from './may-leave-tries.js';

const RELYING = {
  isLarge: true,
  followsForOthers: false,
  peers: 12,
  wantsLargeConfiguration: false,
};

test('a VM of a large fleet leaves the tries to the few that follow the store', () => {
  assert.ok(mayLeaveTries(RELYING));
  assert.not(mayLeaveTries({ ...RELYING, isLarge: false }));
  assert.not(mayLeaveTries({ ...RELYING, followsForOthers: true }));
});

test('it tries itself where nobody could tell it, or not all that it needs', () => {
  assert.not(mayLeaveTries({ ...RELYING, peers: 0 }));
  assert.not(mayLeaveTries({ ...RELYING, wantsLargeConfiguration: true }));
});

test.run();
