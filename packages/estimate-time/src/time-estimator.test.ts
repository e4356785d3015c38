import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TimeEstimator } from './index.js';

const TRUE_ORIGIN_MS = 1_800_000_000_000;

test('wrong clocks of a third of the VMs, including this one, do not affect the estimate', () => {
  const { clock } = createManualTime(0);
  const estimator = new TimeEstimator({ clock, originMs: TRUE_ORIGIN_MS + 4_000 });
  for (let peer = 0; peer < 11; peer += 1) {
    estimator.recordPeerTime(`vm-${peer}`, 'start 1', TRUE_ORIGIN_MS + (peer < 3 ? 4_000 : peer));
  }
  assert.ok(Math.abs(estimator.now() - TRUE_ORIGIN_MS) < 20);
  assert.ok(Math.abs(estimator.correctionMs + 4_000) < 20);
});

test('a peer that restarts with other clocks counts once in the median', async () => {
  const time = createManualTime(0);
  const estimator = new TimeEstimator({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  estimator.recordPeerTime('a', 'start 1', TRUE_ORIGIN_MS);
  for (let start = 1; start <= 5; start += 1) {
    await time.advance(100);
    estimator.recordPeerTime('b', `start ${start}`, TRUE_ORIGIN_MS + start * 10_000);
  }
  assert.is(estimator.now(), TRUE_ORIGIN_MS + 500);
});

test('messages that a VM reads late after a stall do not set its estimate back', async () => {
  const time = createManualTime(0);
  const estimator = new TimeEstimator({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  const recordAll = (delayMs: number): void =>
    ['a', 'b', 'c'].forEach((peer) =>
      estimator.recordPeerTime(peer, 'start 1', TRUE_ORIGIN_MS + time.clock.now() - delayMs),
    );
  recordAll(1);
  await time.advance(10_000);
  recordAll(8_000);
  assert.is(estimator.correctionMs, -1);
  await time.advance(55_000);
  recordAll(2);
  assert.is(estimator.correctionMs, -2);
});

test('samples of an earlier process of a peer are dropped after its restart', () => {
  const { clock } = createManualTime(0);
  const estimator = new TimeEstimator({ clock, originMs: TRUE_ORIGIN_MS });
  estimator.recordPeerTime('a', 'start 1', TRUE_ORIGIN_MS);
  estimator.recordPeerTime('a', 'start 2', TRUE_ORIGIN_MS - 4_000);
  assert.is(estimator.correctionMs, -4_000);
});

test('samples of silent VMs expire, also with more peers than are kept', async () => {
  const time = createManualTime(0);
  const estimator = new TimeEstimator({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  for (let peer = 0; peer < 200; peer += 1) {
    estimator.recordPeerTime(`vm-${peer}`, 'start 1', TRUE_ORIGIN_MS + 9_000);
  }
  assert.is(estimator.correctionMs, 9_000);
  await time.advance(60_001);
  assert.is(estimator.correctionMs, 0);
});

test.run();
