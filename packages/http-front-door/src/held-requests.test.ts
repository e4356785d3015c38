import type { Timers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import HeldRequests from './held-requests.js';

interface SetTimer {
  afterMs: number;
  run: () => void;
  isCancelled: boolean;
}

function createTimers(): { timers: Timers; set: SetTimer[] } {
  const set: SetTimer[] = [];
  const timers: Timers = {
    after(afterMs, run) {
      const timer = { afterMs, run, isCancelled: false };
      set.push(timer);
      return () => (timer.isCancelled = true);
    },
  };
  return { timers, set };
}

test('a request is held for a fifth of the time that its caller waits', () => {
  const { timers, set } = createTimers();
  const held = new HeldRequests(timers);
  const went: string[] = [];
  held.hold(25_000, () => went.push('stream'));
  held.hold(undefined, () => went.push('call'));
  assert.equal(
    set.map(({ afterMs }) => afterMs),
    [5_000, 200],
  );
  set[1]?.run();
  assert.equal(went, ['call']);
  assert.is(held.size, 1);
});

test('all are released in the order in which they came, and each goes on once', () => {
  const { timers, set } = createTimers();
  const held = new HeldRequests(timers);
  const went: number[] = [];
  held.hold(1_000, () => went.push(1));
  const forget = held.hold(1_000, () => went.push(2));
  held.hold(1_000, () => went.push(3));
  forget();
  held.releaseAll();
  held.releaseAll();
  assert.equal(went, [1, 3]);
  assert.ok(set.every(({ isCancelled }) => isCancelled));
});

test('where too many wait already, the next one is not held', () => {
  const { timers } = createTimers();
  const held = new HeldRequests(timers);
  let went = 0;
  for (let index = 0; index < 513; index += 1) {
    held.hold(1_000, () => (went += 1));
  }
  assert.is(went, 1);
  assert.is(held.size, 512);
});

test.run();
