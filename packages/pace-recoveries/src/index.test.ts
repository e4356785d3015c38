import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createRecoveryPacer from './index.js';

test('slots are limited and granted to the most urgent recovery first', async () => {
  const pacer = createRecoveryPacer(() => 1);
  const order: number[] = [];
  const first = await pacer.acquire(3);
  const others = [2, 0, 1].map(async (rank) => {
    const release = await pacer.acquire(rank);
    order.push(rank);
    release();
  });
  assert.is(pacer.countWaiting(), 3);
  first();
  first();
  await Promise.all(others);
  assert.equal(order, [0, 1, 2]);
});

test('slots added later are granted at the next release', async () => {
  let slotCount = 1;
  const pacer = createRecoveryPacer(() => slotCount);
  const release = await pacer.acquire(0);
  const both = Promise.all([pacer.acquire(0), pacer.acquire(0)]);
  slotCount = 2;
  release();
  await both;
  assert.is(pacer.countWaiting(), 0);
});

test.run();
