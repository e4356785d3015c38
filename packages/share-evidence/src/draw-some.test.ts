import { test } from 'uvu';
import * as assert from 'uvu/assert';
import drawSome from './draw-some.js';

test('a draw begins at a random place and goes round', () => {
  const random = { next: () => 0.75 };
  assert.equal(drawSome(['a', 'b', 'c', 'd'], 3, random), ['d', 'a', 'b']);
  assert.equal(drawSome(['a', 'b'], 3, random), ['b', 'a']);
  assert.equal(drawSome([], 3, random), []);
});

test.run();
