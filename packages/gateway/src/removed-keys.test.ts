import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RemovedKeys from './removed-keys.js';

test('what went behind a revision is listed, and nothing is known of what went before the first list', () => {
  const removed = new RemovedKeys();
  assert.is(removed.listSince(5), undefined);
  removed.begin(5);
  removed.note('a', 6);
  removed.note('b', 8);
  assert.equal(removed.listSince(5), ['a', 'b']);
  assert.equal(removed.listSince(7), ['b']);
  assert.is(removed.listSince(4), undefined);
});

test('after a new list nothing is told of what went before it', () => {
  const removed = new RemovedKeys();
  removed.begin(5);
  removed.note('a', 6);
  removed.begin(20);
  assert.is(removed.listSince(15), undefined);
  assert.equal(removed.listSince(20), []);
});

test('removals beyond the most that are remembered are known to be missing', () => {
  const removed = new RemovedKeys();
  removed.begin(0);
  for (let revision = 1; revision <= 2_049; revision += 1) {
    removed.note(`k${revision}`, revision);
  }
  assert.is(removed.listSince(0), undefined);
  assert.is(removed.listSince(1)?.length, 2_048);
});

test.run();
