import type { RetryNeed } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RetryBorrower from './retry-borrower.js';

/** A borrower on a manual clock with a number of peers. */
function create(peers: number) {
  const time = { now: 0 };
  const sent: { atMs: number; peer: string; retries: number }[] = [];
  const state = { needs: [] as RetryNeed[] };
  let timers: { atMs: number; run: () => void }[] = [];
  const borrower = new RetryBorrower({
    clock: { now: () => time.now },
    timers: {
      after: (milliseconds, run) => {
        const timer = { atMs: time.now + milliseconds, run };
        timers.push(timer);
        return () => (timers = timers.filter((other) => other !== timer));
      },
    },
    random: { next: () => 0 },
    listPeers: () => Array.from({ length: peers }, (_, index) => `peer-${index}`),
    listNeeds: () => state.needs,
    sendRequest: (peer, _, needs) =>
      sent.push({
        atMs: time.now,
        peer,
        retries: needs.reduce((total, { retries }) => total + retries, 0),
      }),
  });
  const runUntil = (untilMs: number): void => {
    for (;;) {
      const next = timers.sort((a, b) => a.atMs - b.atMs)[0];
      if (next === undefined || next.atMs > untilMs) {
        time.now = untilMs;
        return;
      }
      timers = timers.filter((other) => other !== next);
      time.now = next.atMs;
      next.run();
    }
  };
  return { borrower, sent, state, time, runUntil, listTimers: () => timers };
}

const STREAMS = (retries: number): RetryNeed[] => [{ class: 'stream-written', retries }];

// Guards against rounds that take longer than a broken stream can wait.
test('waiting requests ask several peers at once, and others every 20 ms until all were asked', () => {
  const { borrower, sent, state, runUntil } = create(29);
  state.needs = STREAMS(4);
  assert.ok(borrower.requestForWaiters('s'));
  assert.is(sent.length, 8);
  assert.is(
    sent.reduce((total, { retries }) => total + retries, 0),
    6,
    'more than is needed, since some peers have none',
  );
  runUntil(60);
  assert.is(new Set(sent.map(({ peer }) => peer)).size, 29);
  assert.equal([...new Set(sent.map(({ atMs }) => atMs))], [0, 20, 40, 60]);
});

// Guards against floods of messages while no VM has budget.
test('the same peers are asked again after 100 ms, and nobody once nothing is lacking', () => {
  const { borrower, sent, state, runUntil, listTimers } = create(3);
  state.needs = STREAMS(1);
  for (let call = 0; call < 5; call += 1) {
    borrower.requestForWaiters('s');
  }
  assert.is(sent.length, 3);
  runUntil(99);
  borrower.requestForWaiters('s');
  assert.is(sent.length, 3);
  runUntil(100);
  assert.is(sent.length, 6);
  state.needs = [];
  runUntil(1_000);
  assert.is(sent.length, 6);
  assert.equal(listTimers(), []);
});

// Guards against new broken streams that wait for the end of the interval.
test('new needs start a round at once, at most every 20 ms', () => {
  const { borrower, sent, state, runUntil } = create(3);
  state.needs = STREAMS(1);
  borrower.requestForWaiters('s');
  state.needs = STREAMS(2);
  runUntil(19);
  borrower.requestForWaiters('s');
  assert.is(sent.length, 3);
  runUntil(20);
  borrower.requestForWaiters('s');
  assert.is(sent.length, 6);
});

test('a VM with few retries left and no waiting request asks for little, once per 100 ms', () => {
  const { borrower, sent, runUntil } = create(10);
  borrower.requestRetries('s');
  borrower.requestRetries('s');
  assert.equal(
    sent.map(({ retries }) => retries),
    [0.5, 0.5, 0.5],
  );
  runUntil(100);
  borrower.requestRetries('s');
  assert.is(sent.length, 6);
});

test('without peers nothing can be borrowed', () => {
  const { borrower, state } = create(0);
  state.needs = STREAMS(1);
  assert.not(borrower.requestForWaiters('s'));
});

test.run();
