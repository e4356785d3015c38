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

test("a request is held for a fifth of its caller's timeout", () => {
  const { timers, set } = createTimers();
  const held = new HeldRequests(timers);
  const continued: string[] = [];
  held.hold(25_000, () => continued.push('stream'));
  held.hold(undefined, () => continued.push('call'));
  assert.equal(
    set.map(({ afterMs }) => afterMs),
    [5_000, 200],
  );
  set[1]?.run();
  assert.equal(continued, ['call']);
  assert.is(held.size, 1);
});

test('requests are released once each, in order of arrival', () => {
  const { timers, set } = createTimers();
  const held = new HeldRequests(timers);
  const continued: number[] = [];
  held.hold(1_000, () => continued.push(1));
  const drop = held.hold(1_000, () => continued.push(2));
  held.hold(1_000, () => continued.push(3));
  drop();
  held.releaseAll();
  held.releaseAll();
  assert.equal(continued, [1, 3]);
  assert.ok(set.every(({ isCancelled }) => isCancelled));
});

test('a request over the limit is not held', () => {
  const { timers } = createTimers();
  const held = new HeldRequests(timers);
  let continued = 0;
  for (let index = 0; index < 513; index += 1) {
    held.hold(1_000, () => (continued += 1));
  }
  assert.is(continued, 1);
  assert.is(held.size, 512);
});

test.run();
