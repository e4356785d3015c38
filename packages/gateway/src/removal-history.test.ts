import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RemovalHistory from './removal-history.js';

test('what went behind a revision is listed, and nothing is known of what went before the first list', () => {
  const removed = new RemovalHistory();
  assert.is(removed.listSince(5), undefined);
  removed.reset(5);
  removed.record('a', 6);
  removed.record('b', 8);
  assert.equal(removed.listSince(5), ['a', 'b']);
  assert.equal(removed.listSince(7), ['b']);
  assert.is(removed.listSince(4), undefined);
});

test('after a new list nothing is told of what went before it', () => {
  const removed = new RemovalHistory();
  removed.reset(5);
  removed.record('a', 6);
  removed.reset(20);
  assert.is(removed.listSince(15), undefined);
  assert.equal(removed.listSince(20), []);
});

test('removals beyond the most that are remembered are known to be missing', () => {
  const removed = new RemovalHistory();
  removed.reset(0);
  for (let revision = 1; revision <= 2_049; revision += 1) {
    removed.record(`k${revision}`, revision);
  }
  assert.is(removed.listSince(0), undefined);
  assert.is(removed.listSince(1)?.length, 2_048);
});

test.run();
