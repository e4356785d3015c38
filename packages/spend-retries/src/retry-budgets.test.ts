import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RetryBudgets, RetryBudgetTracker } from './index.js';

const budget = { ratio: 0.5, slack: 20, windowMs: 1_000 };
const clock = { now: () => 0 };

function createBudgets(short: string[] = []): RetryBudgets {
  return new RetryBudgets({
    limits: budget,
    clock,
    countVms: () => 1,
    onLow: (service) => short.push(service),
  });
}

test('new bounds leave what was spent in the window counted', () => {
  const budgets = createBudgets();
  while (budgets.forService('briefs').trySpend(0, 1));
  budgets.changeLimits({ ...budget });
  assert.not(budgets.forService('briefs').trySpend(100, 1));
});

test('new bounds are in force at once, also for services met before', () => {
  const budgets = createBudgets();
  while (budgets.forService('briefs').trySpend(0, 1));
  budgets.changeLimits({ ...budget, slack: 40 });
  assert.ok(budgets.forService('briefs').trySpend(100, 1));
  assert.is(budgets.forService('rooms').countOwnAvailable(100, 1), 32);
});

test('services spend apart from each other', () => {
  const budgets = createBudgets();
  while (budgets.forService('briefs').trySpend(0, 1));
  assert.ok(budgets.forService('rooms').trySpend(0, 1));
});

test('who has few repeats left says so, before none is left', () => {
  const short: string[] = [];
  const spender = createBudgets(short).forService('briefs');
  for (let index = 0; index < 15; index += 1) {
    spender.trySpend(0, 1);
  }
  assert.equal(short, []);
  assert.ok(spender.trySpend(0, 1));
  assert.equal(short, ['briefs']);
});

test('lent repeats are spent by the lender, and the borrower has them for a while', () => {
  const lender = createBudgets();
  const borrower = createBudgets();
  while (borrower.forService('briefs').trySpend(0, 1));
  assert.is(lender.lend('briefs', 5), 5);
  assert.is(lender.forService('briefs').countOwnAvailable(0, 1), 11);
  borrower.borrow('briefs', 2);
  assert.ok(borrower.forService('briefs').trySpend(0, 1));
  assert.ok(borrower.forService('briefs').trySpend(0, 1));
  assert.not(borrower.forService('briefs').trySpend(0, 1));
  assert.is(lender.lend('briefs', 100), 11);
  assert.is(lender.lend('briefs', 100), 0);
});

test('in a fleet of 195 VMs those that sent nothing lately still have parts to lend', () => {
  // The users' large site: 0.8 repeats a first send, 150 on top, in ten seconds.
  const large = { ratio: 0.8, slack: 150, windowMs: 10_000 };
  const [poor, ...idle] = [0, 1, 2].map(() => new RetryBudgetTracker(large));
  const lent = idle.map((vm) => vm.lend(1_000, 195, 1));
  assert.ok(lent.every((repeats) => repeats > 0.6 && repeats < 0.62));
  assert.not(poor!.trySpend(1_000, 195));
  lent.forEach((repeats) => poor!.borrow(1_000, repeats));
  assert.ok(poor!.trySpend(1_000, 195));
  assert.not(poor!.trySpend(1_000, 195));
  assert.is(idle[0]!.lend(1_000, 195, 1), 0);
});

test('195 VMs that lose a domain of targets pay for two sends of every stream it broke', () => {
  const large = { ratio: 0.8, slack: 150, windowMs: 10_000 };
  const vms = Array.from({ length: 195 }, () => new RetryBudgetTracker(large));
  // 28 first sends a second, spread unevenly: none to three for each VM in the window.
  vms.forEach((vm, index) => {
    for (let sent = 0; sent < index % 4; sent += 1) {
      vm.recordFirstAttempt(0);
    }
  });
  const broken = vms.filter((_, index) => index % 5 === 0);
  const unpaid = new Map(broken.map((vm) => [vm, 2]));
  // As VMs ask: three of their peers, other ones each time, for half a repeat each.
  for (let round = 0; round < 10 && unpaid.size > 0; round += 1) {
    for (const [vm, sends] of [...unpaid]) {
      const left = vm.trySpend(1_000, vms.length) ? sends - 1 : sends;
      unpaid.set(vm, left);
      if (left === 0) {
        unpaid.delete(vm);
      }
      for (let asked = 0; asked < 3; asked += 1) {
        const peer = vms[(vms.indexOf(vm) + 1 + round * 37 + asked * 64) % vms.length]!;
        vm.borrow(1_000, peer.lend(1_000, vms.length, 0.5));
      }
    }
  }
  assert.is(unpaid.size, 0, `${unpaid.size} VMs wait`);
});

test('a loan that is not spent in time is gone', () => {
  const longWindow = { ...budget, windowMs: 60_000 };
  const spender = new RetryBudgetTracker(longWindow);
  while (spender.trySpend(0, 1));
  spender.borrow(0, 2);
  assert.ok(spender.trySpend(29_000, 1));
  assert.not(spender.trySpend(31_000, 1));
});

test('a repeat that reached no target is given back', () => {
  const spender = createBudgets().forService('briefs');
  while (spender.trySpend(0, 1));
  spender.refund(0);
  assert.ok(spender.trySpend(0, 1));
  assert.not(spender.trySpend(0, 1));
});

test.run();
