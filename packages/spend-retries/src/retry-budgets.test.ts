import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RetryBudgets } from './index.js';

const budget = { ratio: 0.5, slack: 20, windowMs: 1_000 };

test('new bounds leave what was spent in the window counted', () => {
  const budgets = new RetryBudgets(budget);
  while (budgets.of('briefs').trySpend(0, 1));
  budgets.change({ ...budget });
  assert.not(budgets.of('briefs').trySpend(100, 1));
});

test('new bounds are in force at once, also for services met before', () => {
  const budgets = new RetryBudgets(budget);
  while (budgets.of('briefs').trySpend(0, 1));
  budgets.change({ ...budget, slack: 40 });
  assert.ok(budgets.of('briefs').trySpend(100, 1));
  assert.is(budgets.of('rooms').remaining(100, 1), 32);
});

test('services spend apart from each other', () => {
  const budgets = new RetryBudgets(budget);
  while (budgets.of('briefs').trySpend(0, 1));
  assert.ok(budgets.of('rooms').trySpend(0, 1));
});

test.run();
