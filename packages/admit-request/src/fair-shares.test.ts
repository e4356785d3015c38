import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import computeShareLevel from './compute-share-level.js';
import FairShares, { type FairSharesOptions } from './fair-shares.js';

/** Arrivals per second of some organisations for `untilMs`, of which a part is served at once. */
function record(
  rates: Record<string, number>,
  servedPerSecond: number,
  untilMs = 6_000,
  options: FairSharesOptions = {},
): FairShares {
  const shares = new FairShares(options);
  const due: Record<string, number> = {};
  for (let now = 0; now <= untilMs; now += 10) {
    for (const [organisation, perSecond] of Object.entries({ ...rates, served: servedPerSecond })) {
      due[organisation] = (due[organisation] ?? 0) + perSecond / 100;
      for (; (due[organisation] ?? 0) >= 1; due[organisation] = (due[organisation] ?? 0) - 1) {
        if (organisation === 'served') {
          shares.recordServed(now);
        } else {
          shares.recordArrival(organisation, now);
        }
      }
    }
  }
  return shares;
}

test('shares use the whole capacity, and nobody gets more than it asks for', () => {
  const demand = fc.record({
    perSecond: fc.double({ min: 0.1, max: 1_000, noNaN: true }),
    weight: fc.integer({ min: 1, max: 5 }),
  });
  const demands = fc.array(demand, { minLength: 1, maxLength: 30 });
  fc.assert(
    fc.property(demands, fc.double({ min: 0, max: 5_000, noNaN: true }), (all, capacity) => {
      const level = computeShareLevel(all, capacity);
      const total = all.reduce((sum, { perSecond }) => sum + perSecond, 0);
      const given = all.reduce(
        (sum, { perSecond, weight }) => sum + Math.min(perSecond, level * weight),
        0,
      );
      assert.ok(Math.abs(given - Math.min(total, capacity)) < 1e-6 * (1 + total));
    }),
    { seed: 4 },
  );
});

test('an organisation that sends far more than the others is the only one above its share', () => {
  const shares = record({ large: 200, a: 30, b: 20, c: 10 }, 100);
  // The others ask for 60 of 105 per second, so that 45 are left.
  assert.ok(Math.abs(shares.excessOf('large', 6_000) - 200 / 45) < 0.5);
  assert.equal(
    ['a', 'b', 'c', undefined].map((name) => shares.excessOf(name, 6_000)),
    [0, 0, 0, 0],
  );
  assert.equal(
    shares.listExceeded(6_000).map(({ organisation }) => organisation),
    ['large'],
  );
});

test('nobody is above its share while all requests are served', () => {
  const shares = record({ large: 200, a: 10 }, 210);
  assert.equal(shares.listExceeded(6_000), []);
});

test('a single organisation has the whole capacity', () => {
  assert.equal(record({ only: 200 }, 100).listExceeded(6_000), []);
});

test('a VM that starts limits nobody, also after a time without requests', () => {
  const shares = record({ large: 200, a: 10 }, 100, 400);
  assert.equal(shares.listExceeded(400), []);
  shares.recordArrival('large', 60_000);
  shares.recordArrival('a', 60_000);
  shares.recordServed(60_000);
  assert.equal(shares.listExceeded(60_100), []);
});

test('a configured weight raises the share', () => {
  const options = { weightOf: (name: string) => (name === 'heavy' ? 3 : 1) };
  const shares = record({ heavy: 150, light: 150 }, 160, 6_000, options);
  assert.ok(shares.excessOf('light', 6_000) > 3);
  assert.ok(shares.excessOf('heavy', 6_000) < 1.3);
});

test('the demand at peers counts for three seconds, then own counts only', () => {
  const shares = record({ a: 10, b: 9 }, 19);
  const demand = {
    ...{ service: 's', arrivals: 310, served: 100 },
    organisations: [['b', 300]] as [string, number][],
  };
  shares.onPeerDemand('peer', demand, 6_000);
  assert.equal(
    shares.listExceeded(6_000).map(({ organisation }) => organisation),
    ['b'],
  );
  for (let now = 6_000; now < 9_100; now += 10) {
    if (now % 100 === 0) {
      shares.recordArrival('a', now);
      shares.recordArrival('b', now);
      shares.recordServed(now);
      shares.recordServed(now);
    }
  }
  assert.equal(shares.listExceeded(9_100), []);
});

test('the report to peers and the counts are bounded', () => {
  const shares = new FairShares();
  for (let index = 0; index < 1_000; index += 1) {
    shares.recordArrival(`o${index}`, index);
  }
  for (let index = 0; index < 100; index += 1) {
    shares.recordArrival('often', 1_000);
  }
  const demand = shares.summarise('s', 1_000);
  assert.ok(demand !== undefined);
  assert.is(demand.organisations.length, 16);
  assert.is(demand.organisations[0]?.[0], 'often');
  assert.ok(demand.arrivals < (256 + 100) / 2.8);
  assert.is(new FairShares().summarise('s', 0), undefined);
});

test.run();
