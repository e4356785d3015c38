import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { planRetryDelay, planWatchWait, type WatchConditions } from './plan-calls.js';
import { STORE_RESPONSE_TIMEOUT_MS } from './store-port.js';

const CALM: WatchConditions = {
  maxStalenessMs: 2_000,
  pausedMs: 0,
  isStoreUnavailable: false,
  mayServePeers: false,
};

test('a lost watch leaves time for another call within the maximum staleness', () => {
  for (const maxStalenessMs of [1_500, 2_000, 3_000, 4_000]) {
    for (const pausedMs of [0, 250]) {
      const waitMs = planWatchWait({ ...CALM, maxStalenessMs: maxStalenessMs, pausedMs });
      const lostForMs =
        pausedMs + waitMs + STORE_RESPONSE_TIMEOUT_MS + planRetryDelay(maxStalenessMs, 1);
      assert.ok(lostForMs < maxStalenessMs, `${lostForMs} of ${maxStalenessMs} ms`);
    }
  }
});

test('the wait grows with the maximum staleness, within bounds', () => {
  const waits = [500, 2_000, 3_000, 60_000].map((maxStalenessMs) =>
    planWatchWait({ ...CALM, maxStalenessMs: maxStalenessMs }),
  );
  assert.equal(waits, [200, 1_000, 2_000, 3_000]);
});

test('a VM that may follow the store for peers uses short waits', () => {
  assert.is(planWatchWait({ ...CALM, maxStalenessMs: 60_000, mayServePeers: true }), 800);
});

test('an unavailable store is probed with the shortest wait', () => {
  assert.is(planWatchWait({ ...CALM, isStoreUnavailable: true }), 1);
});

test('after any number of failures a lost retry leaves time for another one', () => {
  for (const maxStalenessMs of [1_500, 2_000, 4_000]) {
    const unheardMs = STORE_RESPONSE_TIMEOUT_MS + planRetryDelay(maxStalenessMs, 50);
    assert.ok(unheardMs < maxStalenessMs, `${unheardMs} of ${maxStalenessMs} ms`);
  }
  assert.equal(
    [1, 2, 3, 4, 5, 6].map((failures) => planRetryDelay(2_000, failures)),
    [100, 200, 400, 800, 1_000, 1_000],
  );
  assert.is(planRetryDelay(500, 9), 100);
});

test.run();
