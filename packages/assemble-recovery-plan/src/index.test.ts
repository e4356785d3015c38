import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import assembleRecoveryPlan, {
  computeRetryDelayMs,
  MAX_BREAKS,
  type RecoveryContext,
} from './index.js';

const brokenStream: RecoveryContext = {
  cause: 'link-broken',
  deliveredTokens: 10,
  promptTokens: 100,
  policy: { suspicionFactor: 4, minSilenceMs: 1, maxSilenceMs: 2, hedge: true, probeFirst: false },
  attachAttempted: false,
  consecutiveWaits: 0,
  breakCount: 1,
};

const contexts = fc.record<RecoveryContext>({
  cause: fc.constantFrom(
    'silence',
    'link-broken',
    'refused',
    'cut-short',
    'target-gone',
    'vm-lost',
  ),
  deliveredTokens: fc.nat(1000),
  promptTokens: fc.nat(1000),
  policy: fc.record({
    suspicionFactor: fc.constant(4),
    minSilenceMs: fc.constant(1),
    maxSilenceMs: fc.constant(2),
    hedge: fc.boolean(),
    probeFirst: fc.boolean(),
  }),
  attachAttempted: fc.boolean(),
  probe: fc.constantFrom(undefined, 'running' as const, 'not-running' as const),
  consecutiveWaits: fc.nat(5),
  breakCount: fc.nat(20),
});

test('attaching is preferred if the engine may still run the generation', () => {
  assert.is(assembleRecoveryPlan(brokenStream).strategy, 'attach');
  assert.is(assembleRecoveryPlan({ ...brokenStream, cause: 'refused' }).strategy, 'recompute');
});

test('a restart is planned only if nothing was delivered, a recomputation only otherwise', () => {
  fc.assert(
    fc.property(contexts, (context) => {
      const { strategy } = assembleRecoveryPlan(context);
      assert.not(strategy === 'restart' && context.deliveredTokens > 0);
      assert.not(strategy === 'recompute' && context.deliveredTokens === 0);
    }),
    { seed: 1 },
  );
});

test('attaching is not planned again before another token is delivered', () => {
  fc.assert(
    fc.property(contexts, (context) => {
      assert.is.not(assembleRecoveryPlan({ ...context, attachAttempted: true }).strategy, 'attach');
    }),
    { seed: 2 },
  );
});

test('a generation fails after too many breaks', () => {
  const plan = assembleRecoveryPlan({ ...brokenStream, breakCount: MAX_BREAKS + 1 });
  assert.is(plan.strategy, 'fail');
});

test('the waits for a silent target that reports running are limited', () => {
  const silent: RecoveryContext = { ...brokenStream, cause: 'silence', probe: 'running' };
  assert.is(assembleRecoveryPlan(silent).strategy, 'wait');
  assert.is(assembleRecoveryPlan({ ...silent, consecutiveWaits: 3 }).strategy, 'recompute');
});

test('the retry delay grows up to its maximum', () => {
  const delays = Array.from({ length: 20 }, (_, failedSelections) =>
    computeRetryDelayMs(failedSelections),
  );
  assert.equal(
    delays,
    [...delays].sort((a, b) => a - b),
  );
  assert.is(delays.at(-1), 1000);
});

test.run();
