/** The retry budgets of all services that one VM sends to. */
import type { Clock } from '@limelead/types';
import RetrySpender, { type RetryBudget } from './retry-spender.js';

/** What the budgets need. */
export interface RetryBudgetsOptions {
  budget: RetryBudget;
  clock: Clock;
  /** VMs that share the slack, this one included. */
  countVms(): number;
  /** Called when this VM has few repeats left for a service, or none. */
  onShort(service: string): void;
}

/** Holds one spender for each service; all have the same bounds. */
export default class RetryBudgets {
  private readonly spenders = new Map<string, RetrySpender>();
  private budget: RetryBudget;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.budget = options.budget;
  }

  /** The spender of a service. */
  of(service: string): RetrySpender {
    const known = this.spenders.get(service);
    const spender = known ?? new RetrySpender(this.budget, () => this.options.onShort(service));
    this.spenders.set(service, spender);
    return spender;
  }

  /** Lends repeats of a service to a peer; gives their number. */
  lend(service: string, wanted: number): number {
    const { clock, countVms } = this.options;
    return this.of(service).lend(clock.now(), countVms(), wanted);
  }

  /** Takes repeats of a service that a peer lent. */
  borrow(service: string, repeats: number): void {
    this.of(service).borrow(this.options.clock.now(), repeats);
  }

  /** Puts other bounds in force for every service. What was spent so far still counts. */
  change(budget: RetryBudget): void {
    this.budget = budget;
    this.spenders.forEach((spender) => spender.changeBudget(budget));
  }
}
