import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RetryBudgets, RetryBudgetTracker } from './index.js';

const limits = { ratio: 0.5, slack: 20, windowMs: 1_000 };
const clock = { now: () => 0 };
const timers = { after: () => () => undefined };
const random = { next: () => 0 };

function createBudgets(low: string[] = []): RetryBudgets {
  return new RetryBudgets({
    limits,
    clock,
    timers,
    random,
    countVms: () => 1,
    onLow: (service) => low.push(service),
  });
}

test('retries spent in the window still count after a change of the limits', () => {
  const budgets = createBudgets();
  while (budgets.forService('briefs').trySpend(0, 1));
  budgets.changeLimits({ ...limits });
  assert.not(budgets.forService('briefs').trySpend(100, 1));
});

test('new limits apply at once, also to existing budgets', () => {
  const budgets = createBudgets();
  while (budgets.forService('briefs').trySpend(0, 1));
  budgets.changeLimits({ ...limits, slack: 40 });
  assert.ok(budgets.forService('briefs').trySpend(100, 1));
  assert.is(budgets.forService('rooms').countOwnAvailable(100, 1), 38);
});

test('services have separate budgets', () => {
  const budgets = createBudgets();
  while (budgets.forService('briefs').trySpend(0, 1));
  assert.ok(budgets.forService('rooms').trySpend(0, 1));
});

test('a low budget is reported before it is exhausted', () => {
  const low: string[] = [];
  const tracker = createBudgets(low).forService('briefs');
  for (let index = 0; index < 18; index += 1) {
    tracker.trySpend(0, 1);
  }
  assert.equal(low, []);
  assert.ok(tracker.trySpend(0, 1));
  assert.equal(low, ['briefs']);
});

test('lent retries count as spent by the lender and are available to the borrower', () => {
  const lender = createBudgets();
  const borrower = createBudgets();
  while (borrower.forService('briefs').trySpend(0, 1));
  assert.is(lender.lend('briefs', 5), 5);
  assert.is(lender.forService('briefs').countOwnAvailable(0, 1), 14);
  borrower.borrow('briefs', 2);
  assert.ok(borrower.forService('briefs').trySpend(0, 1));
  assert.ok(borrower.forService('briefs').trySpend(0, 1));
  assert.not(borrower.forService('briefs').trySpend(0, 1));
  assert.is(lender.lend('briefs', 100), 14);
  assert.is(lender.lend('briefs', 100), 0);
});

test('in a fleet of 195 VMs, idle VMs lend fractions of a retry', () => {
  const large = { ratio: 0.8, slack: 150, windowMs: 10_000 };
  const [borrower, ...idle] = [0, 1, 2].map(() => new RetryBudgetTracker(large));
  const lent = idle.map((vm) => vm.lend(1_000, 195, 1));
  assert.ok(lent.every((retries) => retries > 0.6 && retries < 0.62));
  assert.not(borrower!.trySpend(1_000, 195));
  lent.forEach((retries) => borrower!.borrow(1_000, retries));
  assert.ok(borrower!.trySpend(1_000, 195));
  assert.not(borrower!.trySpend(1_000, 195));
  assert.is(idle[0]!.lend(1_000, 195, 1), 0);
});

test('195 VMs that lose a failure domain can retry every broken stream twice', () => {
  const large = { ratio: 0.8, slack: 150, windowMs: 10_000 };
  const vms = Array.from({ length: 195 }, () => new RetryBudgetTracker(large));
  // First attempts are spread unevenly: none to three per VM in the window.
  vms.forEach((vm, index) => {
    for (let attempt = 0; attempt < index % 4; attempt += 1) {
      vm.recordFirstAttempt(0);
    }
  });
  const broken = vms.filter((_, index) => index % 5 === 0);
  const missing = new Map(broken.map((vm) => [vm, 2]));
  // Each VM asks three different peers per round for half a retry each.
  for (let round = 0; round < 10 && missing.size > 0; round += 1) {
    for (const [vm, retries] of [...missing]) {
      const left = vm.trySpend(1_000, vms.length) ? retries - 1 : retries;
      missing.set(vm, left);
      if (left === 0) {
        missing.delete(vm);
      }
      for (let asked = 0; asked < 3; asked += 1) {
        const peer = vms[(vms.indexOf(vm) + 1 + round * 37 + asked * 64) % vms.length]!;
        vm.borrow(1_000, peer.lend(1_000, vms.length, 0.5));
      }
    }
  }
  assert.is(missing.size, 0, `${missing.size} VMs wait`);
});

test('borrowed retries expire', () => {
  const longWindow = { ...limits, windowMs: 60_000 };
  const tracker = new RetryBudgetTracker(longWindow);
  while (tracker.trySpend(0, 1));
  tracker.borrow(0, 2);
  assert.ok(tracker.trySpend(29_000, 1));
  assert.not(tracker.trySpend(31_000, 1));
});

test('a refunded retry is available again', () => {
  const tracker = createBudgets().forService('briefs');
  while (tracker.trySpend(0, 1));
  tracker.refund(0);
  assert.ok(tracker.trySpend(0, 1));
  assert.not(tracker.trySpend(0, 1));
});

test.run();
