/**
 * Retry budgets. Within a sliding window all VMs together may retry up to a ratio of their
 * first attempts plus a fixed slack. Each VM has an equal part of the slack and the ratio
 * of its own first attempts; VMs lend each other retries.
 */
export { default as RetryBudgets } from './retry-budgets.js';
export type { RetryBudgetsOptions } from './retry-budgets.js';
export { default as RetryBudgetTracker } from './retry-budget-tracker.js';
export type { RetryBudgetLimits } from './retry-budget-tracker.js';
