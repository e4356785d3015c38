import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TimeEstimator } from './index.js';

const TRUE_ORIGIN_MS = 1_800_000_000_000;

test('a third of the VMs, this one among them, began with clocks that were ahead', () => {
  const { clock } = createManualTime(0);
  const estimate = new TimeEstimator({ clock, originMs: TRUE_ORIGIN_MS + 4_000 });
  for (let peer = 0; peer < 11; peer += 1) {
    estimate.recordPeerTime(`vm-${peer}`, 'start 1', TRUE_ORIGIN_MS + (peer < 3 ? 4_000 : peer));
  }
  assert.ok(Math.abs(estimate.now() - TRUE_ORIGIN_MS) < 20);
  assert.ok(Math.abs(estimate.correctionMs + 4_000) < 20);
});

test('a peer that starts again with another clock has one word', async () => {
  const time = createManualTime(0);
  const estimate = new TimeEstimator({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  estimate.recordPeerTime('a', 'start 1', TRUE_ORIGIN_MS);
  for (let start = 1; start <= 5; start += 1) {
    await time.advance(100);
    estimate.recordPeerTime('b', `start ${start}`, TRUE_ORIGIN_MS + start * 10_000);
  }
  assert.is(estimate.now(), TRUE_ORIGIN_MS + 500);
});

test('a VM that stood still reads old words late, and keeps its time', async () => {
  const time = createManualTime(0);
  const estimate = new TimeEstimator({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  const hearAll = (delayMs: number): void =>
    ['a', 'b', 'c'].forEach((peer) =>
      estimate.recordPeerTime(peer, 'start 1', TRUE_ORIGIN_MS + time.clock.now() - delayMs),
    );
  hearAll(1);
  await time.advance(10_000);
  hearAll(8_000);
  assert.is(estimate.correctionMs, -1);
  await time.advance(55_000);
  hearAll(2);
  assert.is(estimate.correctionMs, -2);
});

test('a peer that starts again with a clock that is behind counts anew', () => {
  const { clock } = createManualTime(0);
  const estimate = new TimeEstimator({ clock, originMs: TRUE_ORIGIN_MS });
  estimate.recordPeerTime('a', 'start 1', TRUE_ORIGIN_MS);
  estimate.recordPeerTime('a', 'start 2', TRUE_ORIGIN_MS - 4_000);
  assert.is(estimate.correctionMs, -4_000);
});

test('words of VMs that are gone are forgotten, and so is what exceeds the bound', async () => {
  const time = createManualTime(0);
  const estimate = new TimeEstimator({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  for (let peer = 0; peer < 200; peer += 1) {
    estimate.recordPeerTime(`vm-${peer}`, 'start 1', TRUE_ORIGIN_MS + 9_000);
  }
  assert.is(estimate.correctionMs, 9_000);
  await time.advance(60_001);
  assert.is(estimate.correctionMs, 0);
});

test.run();
