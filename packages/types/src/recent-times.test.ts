import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RecentTimes } from './index.js';

test('a time is known until it is old', () => {
  const times = new RecentTimes(100);
  times.note('a', 10);
  assert.is(times.ageMs('a', 60), 50);
  assert.is(times.ageMs('a', 110), undefined);
  assert.is(times.ageMs('b', 60), undefined);
});

test('what is held stays bounded however many keys pass', () => {
  const times = new RecentTimes(100);
  for (let now = 0; now < 10_000; now += 10) {
    times.note(`key ${now}`, now);
    times.note('again and again', now);
  }
  assert.ok(times.size <= 12);
  assert.is(times.ageMs('again and again', 10_000), 10);
});

test.run();
