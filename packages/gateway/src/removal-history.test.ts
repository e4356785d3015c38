import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RemovalHistory from './removal-history.js';

test('removals after a revision are listed; removals before the first list are unknown', () => {
  const removals = new RemovalHistory();
  assert.is(removals.listSince(5), undefined);
  removals.reset(5);
  removals.record('a', 6);
  removals.record('b', 8);
  assert.equal(removals.listSince(5), ['a', 'b']);
  assert.equal(removals.listSince(7), ['b']);
  assert.is(removals.listSince(4), undefined);
});

test('a new list makes earlier removals unknown', () => {
  const removals = new RemovalHistory();
  removals.reset(5);
  removals.record('a', 6);
  removals.reset(20);
  assert.is(removals.listSince(15), undefined);
  assert.equal(removals.listSince(20), []);
});

test('a history that dropped removals does not list them as complete', () => {
  const removals = new RemovalHistory();
  removals.reset(0);
  for (let revision = 1; revision <= 2_049; revision += 1) {
    removals.record(`k${revision}`, revision);
  }
  assert.is(removals.listSince(0), undefined);
  assert.is(removals.listSince(1)?.length, 2_048);
});

test.run();
