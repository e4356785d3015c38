/**
 * Retry budgets. A repeated send is allowed while the repeats of the window stay
 * below a share of the window's first sends and a fixed slack. The budget belongs
 * to all VMs together, so one VM spends only its part of the slack; its part of
 * the ratio follows from its own requests.
 */
export { default as RetryBudgets } from './retry-budgets.js';
export type { RetryBudgetsOptions } from './retry-budgets.js';
export { default as RetryBudgetTracker } from './retry-budget-tracker.js';
export type { RetryBudgetLimits } from './retry-budget-tracker.js';
