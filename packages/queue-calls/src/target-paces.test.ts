import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PlaceLimits from './place-limits.js';
import TargetPaces from './target-paces.js';

const TARGET = { id: 't', slots: 6, isSuspected: false, inFlight: 0 };
const IN_USE = { silenceMs: 0, usualMs: 60 };

function recordAnswers(paces: TargetPaces, target: string, tookMs: number, fromMs: number): number {
  let now = fromMs;
  for (let count = 0; count < 20; count += 1) {
    now += 10;
    paces.recordAnswer(target, tookMs, now);
  }
  return now;
}

test('a slow target is known as slow within its next answers, and the usual pace stays', () => {
  const paces = new TargetPaces();
  let now = recordAnswers(paces, 't', 60, recordAnswers(paces, 'u', 60, 0));
  for (let count = 0; count < 15; count += 1) {
    now += 10;
    paces.recordAnswer('t', 150, now);
    paces.recordAnswer('u', 60, now);
  }
  assert.ok(paces.expectedMs('t', now) > 130, 'slow target');
  assert.ok(paces.expectedMs('u', now) < 70, 'other target');
});

test('a target that was slow is tried again although no answer shows its pace', () => {
  const paces = new TargetPaces();
  let now = recordAnswers(paces, 'u', 60, 0);
  now = recordAnswers(paces, 't', 150, now);
  assert.ok(paces.meanMs('t', now + 1_500) < 80);
});

test('the silence of a target with calls counts as its pace before any answer', () => {
  const paces = new TargetPaces();
  let now = recordAnswers(paces, 't', 60, 0);
  paces.recordUse('t', false, now);
  now += 1_000;
  assert.is(paces.silenceMs('t', now), 0);
  paces.recordUse('t', true, now);
  assert.is(paces.expectedMs('t', now + 400), 400);
});

test('a target that stopped answering gets one call at most, and a slowed one all', () => {
  const limits = new PlaceLimits(1);
  assert.is(limits.limitOf(TARGET, { silenceMs: 160, usualMs: 60 }, 0), 7);
  assert.is(limits.limitOf(TARGET, { silenceMs: 250, usualMs: 60 }, 0), 1);
  assert.is(limits.limitOf({ ...TARGET, isSuspected: true }, IN_USE, 0), 0);
});

test('a target with few slots gets no call beyond them, which would wait long there', () => {
  const limits = new PlaceLimits(1);
  assert.is(limits.limitOf({ ...TARGET, slots: 2 }, IN_USE, 0), 2);
});

test('a target that rejects gets fewer calls, and no call beyond its slots for some time', () => {
  const limits = new PlaceLimits(1);
  assert.is(limits.limitOf(TARGET, IN_USE, 0), 7);
  limits.recordRejection('t', 3, 0);
  assert.is(limits.limitOf(TARGET, IN_USE, 50), 3);
  assert.is(limits.limitOf(TARGET, IN_USE, 250), 5);
  assert.is(limits.limitOf(TARGET, IN_USE, 5_000), 6);
  assert.is(limits.limitOf(TARGET, IN_USE, 10_001), 7);
});

test.run();
