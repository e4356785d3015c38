/** The retry budgets of all services that one VM sends to. */
import type { Clock } from '@limelead/types';
import RetryBudgetTracker, { type RetryBudgetLimits } from './retry-budget-tracker.js';

/** What the budgets need. */
export interface RetryBudgetsOptions {
  limits: RetryBudgetLimits;
  clock: Clock;
  /** VMs that share the slack, this one included. */
  countVms(): number;
  /** Called when this VM has few repeats left for a service, or none. */
  onLow(service: string): void;
}

/** Holds one spender for each service; all have the same bounds. */
export default class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudgetTracker>();
  private limits: RetryBudgetLimits;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.limits = options.limits;
  }

  /** The spender of a service. */
  forService(service: string): RetryBudgetTracker {
    const known = this.budgets.get(service);
    const spender = known ?? new RetryBudgetTracker(this.limits, () => this.options.onLow(service));
    this.budgets.set(service, spender);
    return spender;
  }

  /** Lends repeats of a service to a peer; gives their number. */
  lend(service: string, wanted: number): number {
    const { clock, countVms } = this.options;
    return this.forService(service).lend(clock.now(), countVms(), wanted);
  }

  /** Takes repeats of a service that a peer lent. */
  borrow(service: string, repeats: number): void {
    this.forService(service).borrow(this.options.clock.now(), repeats);
  }

  /** Puts other bounds in force for every service. What was spent so far still counts. */
  changeLimits(budget: RetryBudgetLimits): void {
    this.limits = budget;
    this.budgets.forEach((spender) => spender.changeLimits(budget));
  }
}
