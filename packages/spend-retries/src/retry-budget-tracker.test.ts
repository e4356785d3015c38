import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RetryBudgetTracker } from './index.js';

const budget = { ratio: 0.5, slack: 20, windowMs: 1_000 };

test('several VMs together never overspend any window, whatever arrives where', () => {
  const arrival = fc.record({
    gapMs: fc.integer({ min: 0, max: 40 }),
    vm: fc.nat(2),
    repeats: fc.nat(8),
  });
  fc.assert(
    fc.property(fc.array(arrival, { maxLength: 300 }), (arrivals) => {
      const vms = [0, 1, 2].map(() => new RetryBudgetTracker(budget));
      const first: number[] = [];
      const repeated: number[] = [];
      let now = 0;
      for (const { gapMs, vm, repeats } of arrivals) {
        now += gapMs;
        vms[vm]!.recordFirstAttempt(now);
        first.push(now);
        for (let index = 0; index < repeats; index += 1) {
          if (vms[vm]!.trySpend(now, vms.length)) {
            repeated.push(now);
          }
        }
      }
      for (const end of repeated) {
        const inWindow = (at: number): boolean => at <= end && at > end - budget.windowMs;
        const allowed = budget.ratio * first.filter(inWindow).length + budget.slack;
        assert.ok(repeated.filter(inWindow).length <= allowed + 1);
      }
    }),
    { seed: 11, numRuns: 60 },
  );
});

test('what VMs lend each other does not let them overspend any window', () => {
  const arrival = fc.record({
    gapMs: fc.integer({ min: 0, max: 60 }),
    vm: fc.nat(3),
    isFirst: fc.boolean(),
    repeats: fc.nat(6),
  });
  fc.assert(
    fc.property(fc.array(arrival, { minLength: 50, maxLength: 300 }), (arrivals) => {
      const vms = [0, 1, 2, 3].map(() => new RetryBudgetTracker(budget));
      const first: number[] = [];
      const repeated: number[] = [];
      let now = 0;
      for (const { gapMs, vm, isFirst, repeats } of arrivals) {
        now += gapMs;
        if (isFirst) {
          vms[vm]!.recordFirstAttempt(now);
          first.push(now);
        }
        for (let index = 0; index < repeats; index += 1) {
          if (!vms[vm]!.trySpend(now, vms.length)) {
            const lender = vms[(vm + 1 + (index % 3)) % vms.length]!;
            vms[vm]!.borrow(now, lender.lend(now, vms.length, 1));
          } else {
            repeated.push(now);
          }
        }
      }
      for (const end of repeated) {
        const inWindow = (at: number): boolean => at <= end && at > end - budget.windowMs;
        const allowed = budget.ratio * first.filter(inWindow).length + budget.slack;
        assert.ok(repeated.filter(inWindow).length <= allowed + 1);
      }
    }),
    { seed: 12, numRuns: 200 },
  );
});

test('an own part and a borrowed part that make one repeat together pay for it', () => {
  const spender = new RetryBudgetTracker({ ratio: 0, slack: 0.75, windowMs: 1_000 });
  assert.is(spender.countOwnAvailable(0, 1), 0.75 * 0.8);
  spender.borrow(0, 0.5);
  assert.ok(spender.trySpend(0, 1));
  assert.ok(Math.abs(spender.countOwnAvailable(0, 1) - 0.1) < 1e-9);
  assert.not(spender.trySpend(0, 1));
});

test('a spent budget comes back as its window passes', () => {
  const spender = new RetryBudgetTracker(budget);
  while (spender.trySpend(0, 1));
  assert.not(spender.trySpend(500, 1));
  assert.ok(spender.trySpend(2_100, 1));
});

test.run();
