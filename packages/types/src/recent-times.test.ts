import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RecentTimes } from './index.js';

test('a recorded time is returned until it expires', () => {
  const times = new RecentTimes(100);
  times.record('a', 10);
  assert.is(times.ageMs('a', 60), 50);
  assert.is(times.ageMs('a', 110), undefined);
  assert.is(times.ageMs('b', 60), undefined);
});

test('the number of kept keys stays bounded, however many are recorded', () => {
  const times = new RecentTimes(100);
  for (let now = 0; now < 10_000; now += 10) {
    times.record(`key ${now}`, now);
    times.record('repeated key', now);
  }
  assert.ok(times.size <= 12);
  assert.is(times.ageMs('repeated key', 10_000), 10);
});

test.run();
