import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ReadingTime from './reading-time.js';

function describe(promptTokens: number) {
  return { service: 'briefs', request: { promptTokens }, route: { objectiveMs: 4_000 } };
}

test('before anything was seen the objective bounds reading', () => {
  assert.is(new ReadingTime().boundMs(describe(20_000)), 5_200);
});

test('a long prompt may be read for as long as shorter ones let expect', () => {
  const reading = new ReadingTime();
  for (let run = 0; run < 50; run += 1) {
    reading.note(describe(5_000), 2_000);
  }
  assert.is(reading.boundMs(describe(1_000)), 5_200);
  assert.is(Math.round(reading.boundMs(describe(10_000))), 10_000);
  assert.is(reading.boundMs(describe(50_000)), 12_000);
});

test('the least time of a prompt is a part of the expected, and nothing before anything was seen', () => {
  const reading = new ReadingTime();
  assert.is(reading.leastMs(describe(5_000)), 0);
  reading.note(describe(5_000), 2_000);
  assert.is(Math.round(reading.leastMs(describe(10_000))), 2_800);
});

test('services are learned apart, and a prompt of unknown length teaches nothing', () => {
  const reading = new ReadingTime();
  reading.note(describe(0), 9_000);
  reading.note({ ...describe(10), service: 'others' }, 9_000);
  assert.is(reading.boundMs(describe(5_000)), 5_200);
});

test.run();
