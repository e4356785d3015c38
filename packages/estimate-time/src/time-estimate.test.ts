import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TimeEstimate } from './index.js';

const TRUE_ORIGIN_MS = 1_800_000_000_000;

test('a third of the VMs, this one among them, began with clocks that were ahead', () => {
  const { clock } = createManualTime(0);
  const estimate = new TimeEstimate({ clock, originMs: TRUE_ORIGIN_MS + 4_000 });
  for (let peer = 0; peer < 11; peer += 1) {
    estimate.hear(`vm-${peer}`, TRUE_ORIGIN_MS + (peer < 3 ? 4_000 : peer));
  }
  assert.ok(Math.abs(estimate.now() - TRUE_ORIGIN_MS) < 20);
  assert.ok(Math.abs(estimate.correctionMs + 4_000) < 20);
});

test('a peer that starts again with another clock has one word', async () => {
  const time = createManualTime(0);
  const estimate = new TimeEstimate({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  estimate.hear('a', TRUE_ORIGIN_MS);
  for (let start = 1; start <= 5; start += 1) {
    await time.advance(100);
    estimate.hear('b', TRUE_ORIGIN_MS + start * 10_000);
  }
  assert.is(estimate.now(), TRUE_ORIGIN_MS + 500);
});

test('words of VMs that are gone are forgotten, and so is what exceeds the bound', async () => {
  const time = createManualTime(0);
  const estimate = new TimeEstimate({ clock: time.clock, originMs: TRUE_ORIGIN_MS });
  for (let peer = 0; peer < 200; peer += 1) {
    estimate.hear(`vm-${peer}`, TRUE_ORIGIN_MS + 9_000);
  }
  assert.is(estimate.correctionMs, 9_000);
  await time.advance(60_001);
  assert.is(estimate.correctionMs, 0);
});

test.run();
