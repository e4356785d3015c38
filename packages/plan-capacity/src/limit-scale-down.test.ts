import { test } from 'uvu';
import * as assert from 'uvu/assert';
import limitScaleDown, { SCALE_DOWN_DELAY_MS, type ScaleDownState } from './limit-scale-down.js';

const START: ScaleDownState = { needed: 0, peakNeed: 0, sinceMs: 0, isScalingDown: false };

function simulate(needOf: (second: number) => number, seconds: number): number[] {
  let state = START;
  return Array.from({ length: seconds }, (_, second) => {
    state = limitScaleDown(state, needOf(second), second * 1_000);
    return state.needed;
  });
}

test('a higher need takes effect at once', () => {
  const needs = simulate((second) => (second < 10 ? 20 : 50), 11);
  assert.is(needs[10], 50);
});

test('periodic swings of the load change nothing after the first peak', () => {
  const needs = simulate(
    (second) => Math.round(20 + 5 * Math.sin((second * 2 * Math.PI) / 11)),
    120,
  );
  assert.is(new Set(needs.slice(11)).size, 1);
});

test('a lower need takes effect after a delay and in steps', () => {
  const needs = simulate((second) => (second < 5 ? 40 : 10), 90);
  assert.is(needs[4 + SCALE_DOWN_DELAY_MS / 1_000 - 1], 40);
  const last = needs.at(-1) ?? 0;
  assert.ok(last >= 10 && last * 0.9 <= 10, `${last} after all`);
  needs.slice(1).forEach((need, index) => {
    const before = needs[index] ?? 0;
    assert.ok(need >= before * 0.84 - 1, `${before} to ${need}`);
  });
});

test.run();
