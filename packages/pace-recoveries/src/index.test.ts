import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createRecoveryPacer from './index.js';

test('the most urgent goes first, and no more than the places begin', async () => {
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

test('places that come later are handed out with the next release', async () => {
  let places = 1;
  const pacer = createRecoveryPacer(() => places);
  const release = await pacer.acquire(0);
  const both = Promise.all([pacer.acquire(0), pacer.acquire(0)]);
  places = 2;
  release();
  await both;
  assert.is(pacer.countWaiting(), 0);
});

test.run();
