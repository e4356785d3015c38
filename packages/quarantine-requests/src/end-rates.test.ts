import { test } from 'uvu';
import * as assert from 'uvu/assert';
import EndRates from './end-rates.js';

const MINUTE_MS = 60_000;

test('the chance of an end grows with the time and with the ends of the last minute', () => {
  const rates = new EndRates(() => 4);
  const before = rates.chanceOfEnd('llm', 1_000, 0);
  assert.ok(Math.abs(before - (1 - Math.exp(-1 / 240))) < 1e-12);
  assert.ok(rates.chanceOfEnd('llm', 5_000, 0) > before);
  rates.recordEnd('llm', 't1', 0);
  rates.recordEnd('llm', 't1', 10);
  assert.ok(Math.abs(rates.chanceOfEnd('llm', 1_000, 10) - (1 - Math.exp(-2 / 240))) < 1e-12);
  assert.is(rates.chanceOfEnd('api', 1_000, 10), before);
  assert.is(rates.chanceOfEnd('llm', 1_000, MINUTE_MS), before);
});

test('ends that are older than a minute are forgotten', () => {
  const rates = new EndRates(() => 1);
  rates.recordEnd('llm', 't1', 0);
  rates.recordEnd('llm', 't2', MINUTE_MS);
  rates.recordEnd('llm', 't1', MINUTE_MS + 1);
  assert.is(rates.chanceOfEnd('llm', 1_000, MINUTE_MS + 1), 1 - Math.exp(-3 / 60));
});

test.run();
