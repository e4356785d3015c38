import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RetryBudgetTracker } from './index.js';

const limits = { ratio: 0.5, slack: 20, windowMs: 1_000 };

test('several VMs never exceed the shared budget in any window', () => {
  const arrival = fc.record({
    gapMs: fc.integer({ min: 0, max: 40 }),
    vm: fc.nat(2),
    retries: fc.nat(8),
  });
  fc.assert(
    fc.property(fc.array(arrival, { maxLength: 300 }), (arrivals) => {
      const vms = [0, 1, 2].map(() => new RetryBudgetTracker(limits));
      const first: number[] = [];
      const retried: number[] = [];
      let now = 0;
      for (const { gapMs, vm, retries } of arrivals) {
        now += gapMs;
        vms[vm]!.recordFirstAttempt(now);
        first.push(now);
        for (let index = 0; index < retries; index += 1) {
          if (vms[vm]!.trySpend(now, vms.length)) {
            retried.push(now);
          }
        }
      }
      for (const end of retried) {
        const inWindow = (at: number): boolean => at <= end && at > end - limits.windowMs;
        const allowed = limits.ratio * first.filter(inWindow).length + limits.slack;
        assert.ok(retried.filter(inWindow).length <= allowed + 1);
      }
    }),
    { seed: 11, numRuns: 60 },
  );
});

test('lending does not let VMs exceed the shared budget in any window', () => {
  const arrival = fc.record({
    gapMs: fc.integer({ min: 0, max: 60 }),
    vm: fc.nat(3),
    isFirst: fc.boolean(),
    retries: fc.nat(6),
  });
  fc.assert(
    fc.property(fc.array(arrival, { minLength: 50, maxLength: 300 }), (arrivals) => {
      const vms = [0, 1, 2, 3].map(() => new RetryBudgetTracker(limits));
      const first: number[] = [];
      const retried: number[] = [];
      let now = 0;
      for (const { gapMs, vm, isFirst, retries } of arrivals) {
        now += gapMs;
        if (isFirst) {
          vms[vm]!.recordFirstAttempt(now);
          first.push(now);
        }
        for (let index = 0; index < retries; index += 1) {
          if (!vms[vm]!.trySpend(now, vms.length)) {
            const lender = vms[(vm + 1 + (index % 3)) % vms.length]!;
            vms[vm]!.borrow(now, lender.lend(now, vms.length, 1));
          } else {
            retried.push(now);
          }
        }
      }
      for (const end of retried) {
        const inWindow = (at: number): boolean => at <= end && at > end - limits.windowMs;
        const allowed = limits.ratio * first.filter(inWindow).length + limits.slack;
        assert.ok(retried.filter(inWindow).length <= allowed + 1);
      }
    }),
    { seed: 12, numRuns: 200 },
  );
});

test('own and borrowed fractions combine to one retry', () => {
  const tracker = new RetryBudgetTracker({ ratio: 0, slack: 0.75, windowMs: 1_000 });
  assert.is(tracker.countOwnAvailable(0, 1), 0.75 * 0.8);
  tracker.borrow(0, 0.5);
  assert.ok(tracker.trySpend(0, 1));
  assert.ok(Math.abs(tracker.countOwnAvailable(0, 1) - 0.1) < 1e-9);
  assert.not(tracker.trySpend(0, 1));
});

test('an exhausted budget recovers as the window moves on', () => {
  const tracker = new RetryBudgetTracker(limits);
  while (tracker.trySpend(0, 1));
  assert.not(tracker.trySpend(500, 1));
  assert.ok(tracker.trySpend(2_100, 1));
});

test.run();
