import { test } from 'uvu';
import * as assert from 'uvu/assert';
import planOrders, { type DomainState } from './plan-orders.js';

const LIMITS = { now: 10_000, max: 56, bootMs: 4_000 };
const NONE = { ready: 0, leaving: 0 };

function domain(plain: number, spot: number, orderedPlain?: number): DomainState {
  return {
    wanted: { plain: 1, spot: 27 },
    present: { plain: { ...NONE, ready: plain }, spot: { ...NONE, ready: spot } },
    ordered: {
      plain: orderedPlain === undefined ? undefined : confirmedOrder(orderedPlain),
      spot: confirmedOrder(27),
    },
    isSpotUnavailable: false,
    spotRetryCount: undefined,
  };
}

function confirmedOrder(count: number) {
  return { count, atMs: 9_000, isConfirmed: true };
}

test('targets whose removal was ordered do not count, though the list still shows them', () => {
  const states = new Map([
    ['a', domain(28, 27, 1)],
    ['b', domain(28, 0)],
    ['c', domain(28, 0)],
  ]);
  assert.equal(planOrders(states, LIMITS), []);
});

test('only targets that others replace are removed', () => {
  const states = new Map([
    ['a', domain(28, 27)],
    ['b', domain(28, 0)],
    ['c', domain(28, 0)],
  ]);
  assert.equal(planOrders(states, LIMITS), [
    { failureDomain: 'a', kind: 'plain', count: 1, reason: 'fewer' },
  ]);
});

test.run();
