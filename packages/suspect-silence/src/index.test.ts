import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import computeSilenceTimeout, { INITIAL_GAP_ESTIMATE, updateGapEstimate } from './index.js';

const policy = {
  suspicionFactor: 4,
  minSilenceMs: 50,
  maxSilenceMs: 2_000,
  hedge: false,
  probeFirst: false,
};

function learn(gaps: number[]) {
  return gaps.reduce(updateGapEstimate, INITIAL_GAP_ESTIMATE);
}

test('the bound stays within the limits of the policy', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(100_000)), (gaps) => {
      const bound = computeSilenceTimeout(learn(gaps), policy);
      assert.ok(bound >= policy.minSilenceMs && bound <= policy.maxSilenceMs);
    }),
    { seed: 3 },
  );
});

test('a steady engine is suspected sooner than an unsteady one of the same mean', () => {
  const steady = learn(Array.from({ length: 200 }, () => 100));
  const unsteady = learn(Array.from({ length: 200 }, (_, index) => (index % 2 === 0 ? 20 : 180)));
  assert.ok(computeSilenceTimeout(steady, policy) < computeSilenceTimeout(unsteady, policy));
});

test('an engine that slows down under load is not suspected for it once that was learned', () => {
  const slow = learn(Array.from({ length: 100 }, (_, index) => 250 + (index % 5) * 20));
  assert.ok(computeSilenceTimeout(slow, policy) > 330);
});

test.run();
