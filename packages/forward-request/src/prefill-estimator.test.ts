import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PrefillEstimator from './prefill-estimator.js';

function describe(promptTokens: number) {
  return { service: 'briefs', request: { promptTokens }, route: { objectiveMs: 4_000 } };
}

test('without observations the objective limits the prefill time', () => {
  assert.is(new PrefillEstimator().maxMs(describe(20_000)), 5_200);
});

test('the limit for a long prompt follows from the observed time per token', () => {
  const reading = new PrefillEstimator();
  for (let run = 0; run < 50; run += 1) {
    reading.record(describe(5_000), 2_000);
  }
  assert.is(reading.maxMs(describe(1_000)), 5_200);
  assert.is(Math.round(reading.maxMs(describe(10_000))), 10_000);
  assert.is(reading.maxMs(describe(50_000)), 12_000);
});

test('the shortest time is a share of the expected one, and 0 without observations', () => {
  const reading = new PrefillEstimator();
  assert.is(reading.minMs(describe(5_000)), 0);
  reading.record(describe(5_000), 2_000);
  assert.is(Math.round(reading.minMs(describe(10_000))), 2_800);
});

test('services are tracked separately, and prompts of unknown length are ignored', () => {
  const reading = new PrefillEstimator();
  reading.record(describe(0), 9_000);
  reading.record({ ...describe(10), service: 'others' }, 9_000);
  assert.is(reading.maxMs(describe(5_000)), 5_200);
});

test.run();
