/** The retry budgets of all services that one VM sends to. */
import RetrySpender, { type RetryBudget } from './retry-spender.js';

/** Holds one spender for each service; all have the same bounds. */
export default class RetryBudgets {
  private readonly spenders = new Map<string, RetrySpender>();

  constructor(private budget: RetryBudget) {}

  /** The spender of a service. */
  of(service: string): RetrySpender {
    const known = this.spenders.get(service);
    const spender = known ?? new RetrySpender(this.budget);
    this.spenders.set(service, spender);
    return spender;
  }

  /** Puts other bounds in force for every service. What was spent so far still counts. */
  change(budget: RetryBudget): void {
    this.budget = budget;
    this.spenders.forEach((spender) => spender.changeBudget(budget));
  }
}
