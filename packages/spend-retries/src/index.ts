/**
 * Retry budgets. A repeated send is allowed while the repeats of the window stay
 * below a share of the window's first sends and a fixed slack. The budget belongs
 * to all VMs together, so one VM spends only its part of the slack; its part of
 * the ratio follows from its own requests.
 */
export { default as RetryBudgets } from './retry-budgets.js';
export type { RetryBudgetsOptions } from './retry-budgets.js';
export { default as RetrySpender } from './retry-spender.js';
export type { RetryBudget } from './retry-spender.js';
