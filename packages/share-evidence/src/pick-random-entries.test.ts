import { test } from 'uvu';
import * as assert from 'uvu/assert';
import pickRandomEntries from './pick-random-entries.js';

test('the entries start at a random position and continue at the beginning of the list', () => {
  const random = { next: () => 0.75 };
  assert.equal(pickRandomEntries(['a', 'b', 'c', 'd'], 3, random), ['d', 'a', 'b']);
  assert.equal(pickRandomEntries(['a', 'b'], 3, random), ['b', 'a']);
  assert.equal(pickRandomEntries([], 3, random), []);
});

test.run();
