/** Retry budgets of one VM, by service. */
import type { Clock } from '@limelead/types';
import RetryBudgetTracker, { type RetryBudgetLimits } from './retry-budget-tracker.js';

export interface RetryBudgetsOptions {
  limits: RetryBudgetLimits;
  clock: Clock;
  /** Number of VMs that share the slack, including this one. */
  countVms(): number;
  /** Called when this VM has few or no retries left for a service. */
  onLow(service: string): void;
}

/** Holds one budget per service, all with the same limits. */
export default class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudgetTracker>();
  private limits: RetryBudgetLimits;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.limits = options.limits;
  }

  /** Returns the budget of a service, creating it on first use. */
  forService(service: string): RetryBudgetTracker {
    const known = this.budgets.get(service);
    const budget = known ?? new RetryBudgetTracker(this.limits, () => this.options.onLow(service));
    this.budgets.set(service, budget);
    return budget;
  }

  /** Lends retries of a service to a peer and returns their number. */
  lend(service: string, wanted: number): number {
    const { clock, countVms } = this.options;
    return this.forService(service).lend(clock.now(), countVms(), wanted);
  }

  /** Adds retries of a service that a peer lent. */
  borrow(service: string, retries: number): void {
    this.forService(service).borrow(this.options.clock.now(), retries);
  }

  /** Changes the limits of all services. Attempts and retries so far still count. */
  changeLimits(limits: RetryBudgetLimits): void {
    this.limits = limits;
    this.budgets.forEach((budget) => budget.changeLimits(limits));
  }
}
