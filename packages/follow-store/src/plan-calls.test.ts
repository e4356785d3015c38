import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planRetryPause, planWatchWait, type WatchSituation } from './plan-calls.js';
import { STORE_ANSWER_MS } from './store-port.js';

const CALM: WatchSituation = {
  noticeWithinMs: 2_000,
  pausedMs: 0,
  isAway: false,
  mayServeOthers: false,
};

test('a watch that is lost leaves time for the next call within the promise', () => {
  for (const noticeWithinMs of [1_500, 2_000, 3_000, 4_000]) {
    for (const pausedMs of [0, 250]) {
      const waitMs = planWatchWait({ ...CALM, noticeWithinMs, pausedMs });
      const lostForMs = pausedMs + waitMs + STORE_ANSWER_MS + planRetryPause(noticeWithinMs, 1);
      assert.ok(lostForMs < noticeWithinMs, `${lostForMs} of ${noticeWithinMs} ms`);
    }
  }
});

test('a longer promise allows longer waits, up to a bound, and a short one never asks without end', () => {
  const waits = [500, 2_000, 3_000, 60_000].map((noticeWithinMs) =>
    planWatchWait({ ...CALM, noticeWithinMs }),
  );
  assert.equal(waits, [200, 1_000, 2_000, 3_000]);
});

test('a VM on whose answers others may rely waits shortly, whatever the promise', () => {
  assert.is(planWatchWait({ ...CALM, noticeWithinMs: 60_000, mayServeOthers: true }), 800);
});

test('a store that is away is asked for an answer at once', () => {
  assert.is(planWatchWait({ ...CALM, isAway: true }), 1);
});

test('a try that was lost right before the return leaves time for the next, however many failed', () => {
  for (const noticeWithinMs of [1_500, 2_000, 4_000]) {
    const unheardMs = STORE_ANSWER_MS + planRetryPause(noticeWithinMs, 50);
    assert.ok(unheardMs < noticeWithinMs, `${unheardMs} of ${noticeWithinMs} ms`);
  }
  assert.equal(
    [1, 2, 3, 4, 5, 6].map((failures) => planRetryPause(2_000, failures)),
    [100, 200, 400, 800, 1_000, 1_000],
  );
  assert.is(planRetryPause(500, 9), 100);
});

test.run();
