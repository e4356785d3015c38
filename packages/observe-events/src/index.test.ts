import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createEventBus from './index.js';

const detail = (length: number) => () => ({
  kind: 'answerFinished' as const,
  length,
  recoveries: 0,
});

test('nothing is built while nobody watches', () => {
  const bus = createEventBus('vm-1', { now: () => 1 });
  bus.publish('r1', () => {
    throw new Error('expected not to be called');
  });
});

test('a slow reader loses the oldest events and is told how many', async () => {
  const bus = createEventBus('vm-1', { now: () => 1 });
  const reader = bus.subscribe(3);
  for (let length = 0; length < 10; length += 1) {
    bus.publish('r1', detail(length));
  }
  const batch = await reader.next();
  assert.is(batch?.lost, 7);
  assert.equal(
    batch?.events.map((event) => event.detail),
    [7, 8, 9].map((n) => detail(n)()),
  );
});

test('a closed reader ends, and costs nothing more', async () => {
  const bus = createEventBus('vm-1', { now: () => 1 });
  const reader = bus.subscribe();
  const next = reader.next();
  reader.close();
  assert.is(await next, undefined);
});

test.run();
