import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { refuseCooling } from './index.js';

const wait = { untilMs: 1_000, now: 400, spreadMs: 50 };

test('nothing is refused while a target is available, or none is known', () => {
  assert.is(refuseCooling({ ...wait, endsMs: [5_000, undefined] }), undefined);
  assert.is(refuseCooling({ ...wait, endsMs: [] }), undefined);
});

test('what the first target can serve in time waits; else the caller is told when', () => {
  assert.is(refuseCooling({ ...wait, endsMs: [5_000, 900] }), undefined);
  assert.equal(refuseCooling({ ...wait, endsMs: [5_000, 1_000] }), {
    kind: 'cooling',
    retryAfterMs: 650,
    targets: 2,
  });
});

test.run();
