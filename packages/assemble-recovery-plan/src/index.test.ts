import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import assembleRecoveryPlan, {
  computeRetryDelayMs,
  MAX_BREAKS,
  type RecoveryContext,
} from './index.js';

const situation: RecoveryContext = {
  cause: 'link-broken',
  deliveredTokens: 10,
  promptTokens: 100,
  policy: { suspicionFactor: 4, minSilenceMs: 1, maxSilenceMs: 2, hedge: true, probeFirst: false },
  attachAttempted: false,
  consecutiveWaits: 0,
  breakCount: 1,
};

const situations = fc.record<RecoveryContext>({
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

test('attaching comes first where the engine may live, because it computes nothing again', () => {
  assert.is(assembleRecoveryPlan(situation).strategy, 'attach');
  assert.is(assembleRecoveryPlan({ ...situation, cause: 'refused' }).strategy, 'recompute');
});

test('a restart is planned exactly where nothing was delivered', () => {
  fc.assert(
    fc.property(situations, (drawn) => {
      const { strategy } = assembleRecoveryPlan(drawn);
      assert.not(strategy === 'restart' && drawn.deliveredTokens > 0);
      assert.not(strategy === 'recompute' && drawn.deliveredTokens === 0);
    }),
    { seed: 1 },
  );
});

test('attaching is never planned twice without a token in between', () => {
  fc.assert(
    fc.property(situations, (drawn) => {
      assert.is.not(assembleRecoveryPlan({ ...drawn, attachAttempted: true }).strategy, 'attach');
    }),
    { seed: 2 },
  );
});

test('every generation is given up at some time', () => {
  const plan = assembleRecoveryPlan({ ...situation, breakCount: MAX_BREAKS + 1 });
  assert.is(plan.strategy, 'fail');
});

test('a target that says it runs is believed only so often', () => {
  const silent: RecoveryContext = { ...situation, cause: 'silence', probe: 'running' };
  assert.is(assembleRecoveryPlan(silent).strategy, 'wait');
  assert.is(assembleRecoveryPlan({ ...silent, consecutiveWaits: 3 }).strategy, 'recompute');
});

test('the delay between tries grows and stays bounded', () => {
  const delays = Array.from({ length: 20 }, (_, tries) => computeRetryDelayMs(tries));
  assert.equal(
    delays,
    [...delays].sort((a, b) => a - b),
  );
  assert.is(delays.at(-1), 1000);
});

test.run();
