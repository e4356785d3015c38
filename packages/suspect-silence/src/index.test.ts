import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import computeSilenceTimeout, {
  computeSilenceTimeoutBesidePrefill,
  INITIAL_GAP_ESTIMATE,
  scaleGapEstimate,
  updateGapEstimate,
} from './index.js';

const policy = {
  suspicionFactor: 4,
  minSilenceMs: 50,
  maxSilenceMs: 2_000,
  hedge: false,
  probeFirst: false,
};

function estimateGaps(gaps: number[]) {
  return gaps.reduce(updateGapEstimate, INITIAL_GAP_ESTIMATE);
}

test('the timeout stays within the limits of the policy', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(100_000)), (gaps) => {
      const timeoutMs = computeSilenceTimeout(estimateGaps(gaps), policy);
      assert.ok(timeoutMs >= policy.minSilenceMs && timeoutMs <= policy.maxSilenceMs);
    }),
    { seed: 3 },
  );
});

test('an engine with steady gaps has a shorter timeout than one with unsteady gaps of the same mean', () => {
  const steady = estimateGaps(Array.from({ length: 200 }, () => 100));
  const unsteady = estimateGaps(
    Array.from({ length: 200 }, (_, index) => (index % 2 === 0 ? 20 : 180)),
  );
  assert.ok(computeSilenceTimeout(steady, policy) < computeSilenceTimeout(unsteady, policy));
});

test('the timeout adapts to an engine that slows down under load', () => {
  const slow = estimateGaps(Array.from({ length: 100 }, (_, index) => 250 + (index % 5) * 20));
  assert.ok(computeSilenceTimeout(slow, policy) > 330);
});

test('gaps beside a prefill raise the timeout, within the limits of the policy', () => {
  const steady = estimateGaps(Array.from({ length: 200 }, () => 30));
  const usual = computeSilenceTimeout(steady, policy);
  assert.is(computeSilenceTimeoutBesidePrefill(steady, 0, policy), usual);
  assert.is(computeSilenceTimeoutBesidePrefill(steady, 180, policy), 225);
  assert.is(computeSilenceTimeoutBesidePrefill(steady, 9_000, policy), policy.maxSilenceMs);
});

test('a scaled estimate is the one of a target whose gaps take that multiple', () => {
  const gaps = Array.from({ length: 300 }, (_, index) => 30 + (index % 5));
  const scaled = scaleGapEstimate(estimateGaps(gaps), 2.5);
  const slow = estimateGaps(gaps.map((gap) => gap * 2.5));
  assert.ok(Math.abs(scaled.meanMs - slow.meanMs) < 0.01);
  assert.ok(Math.abs(scaled.deviationMs - slow.deviationMs) < 0.01);
});

test.run();
