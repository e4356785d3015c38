import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createEventBus from './index.js';

const detail = (length: number) => () => ({
  kind: 'answerFinished' as const,
  length,
  recoveries: 0,
});

test('the event detail is not built without a subscription', () => {
  const bus = createEventBus('vm-1', { now: () => 1 });
  bus.publish('r1', () => {
    throw new Error('expected not to be called');
  });
});

test('a full buffer drops the oldest events and counts them', async () => {
  const bus = createEventBus('vm-1', { now: () => 1 });
  const subscription = bus.subscribe(3);
  for (let length = 0; length < 10; length += 1) {
    bus.publish('r1', detail(length));
  }
  const batch = await subscription.next();
  assert.is(batch?.droppedCount, 7);
  assert.equal(
    batch?.events.map((event) => event.detail),
    [7, 8, 9].map((n) => detail(n)()),
  );
});

test('close resolves a pending read with undefined', async () => {
  const bus = createEventBus('vm-1', { now: () => 1 });
  const subscription = bus.subscribe();
  const next = subscription.next();
  subscription.close();
  assert.is(await next, undefined);
});

test.run();
