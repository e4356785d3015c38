import createDecisionLog from '@limelead/decision-log';
import { RetryBudgetTracker } from '@limelead/spend-retries';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import AttemptBudget from './attempt-budget.js';

function createBudget() {
  const clock = { now: () => 0 };
  const lines: string[] = [];
  const log = createDecisionLog({
    vm: 'test',
    clock,
    output: (text, done) => {
      lines.push(text);
      done();
    },
  });
  const retryBudget = new RetryBudgetTracker({ ratio: 0, slack: 2.5, windowMs: 10_000 });
  const budget = new AttemptBudget(
    { clock, log, countVms: () => 1, retryBudgetOf: () => retryBudget },
    { service: 'briefs', request: { requestId: 'r1' } },
  );
  return { budget, retryBudget, lines };
}

test('the first attempt is free, and later ones need a retry from the budget', () => {
  const { budget } = createBudget();
  const allowed: boolean[] = [];
  for (let attempt = 0; attempt < 4; attempt += 1) {
    allowed.push(budget.trySpend());
    budget.recordAttempt();
  }
  assert.equal(allowed, [true, true, true, false]);
});

test('an attempt that the exhausted budget prevents is logged', async () => {
  const { budget, lines } = createBudget();
  for (let attempt = 0; attempt < 3; attempt += 1) {
    budget.trySpend();
    budget.recordAttempt();
  }
  assert.not(budget.trySpend());
  await new Promise((resolve) => setImmediate(resolve));
  const { event, requestId, service, attempts } = JSON.parse(lines.join('')) as Record<
    string,
    unknown
  >;
  assert.equal([event, requestId, service, attempts], ['repeat-unpaid', 'r1', 'briefs', 3]);
});

test('attempts that reach no target spend nothing', () => {
  const { budget, retryBudget } = createBudget();
  for (let attempt = 0; attempt < 10; attempt += 1) {
    assert.ok(budget.trySpend());
    budget.recordAttempt()();
  }
  assert.is(retryBudget.countOwnAvailable(0, 1), 2);
  budget.trySpend();
  budget.recordAttempt();
  for (let attempt = 0; attempt < 10; attempt += 1) {
    assert.ok(budget.trySpend());
    budget.recordAttempt()();
  }
  assert.is(retryBudget.countOwnAvailable(0, 1), 2);
});

test.run();
