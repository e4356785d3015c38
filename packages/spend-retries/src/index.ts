/**
 * Retry budgets. Within a sliding window all VMs together may retry up to a ratio of their
 * first attempts plus a fixed slack. Each VM has an equal part of the slack and the ratio
 * of its own first attempts; VMs lend each other retries. Requests that lack a retry wait and
 * are served by priority. A VM has its part of the slack only once it has run for a whole window,
 * since its predecessor may have spent it; until then peers lend it some.
 */
export { default as RetryBudgets } from './retry-budgets.js';
export type { RetryBudgetsOptions } from './retry-budgets.js';
export { default as PrioritisedRetryBudget } from './prioritised-retry-budget.js';
export type { PrioritisedRetryBudgetOptions } from './prioritised-retry-budget.js';
export { default as RetryBudgetTracker } from './retry-budget-tracker.js';
export type { HeldRetry, RetryBudgetLimits } from './retry-budget-tracker.js';
export type { RetryClass, RetryDecision, RetryRequest, RetryRequestEnd } from './retry-request.js';
