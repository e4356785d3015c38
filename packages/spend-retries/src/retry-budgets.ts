/** Retry budgets of one VM, by service. */
import type { Clock, Millis, Random, RetryNeed, Timers } from '@limelead/types';
import PrioritisedRetryBudget from './prioritised-retry-budget.js';
import type { RetryBudgetLimits } from './retry-budget-tracker.js';
import type { RetryRequestEnd } from './retry-request.js';

/**
 * Class assumed for a peer of an older release, which names none: its own waiting requests may be
 * streams, but they rarely are the most valuable ones.
 */
const DEFAULT_BORROWER_CLASS = 'stream-unwritten';

export interface RetryBudgetsOptions {
  limits: RetryBudgetLimits;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Time since which all attempts of this VM are recorded; unlimited if undefined. */
  knownSinceMs?: Millis;
  /** Number of VMs that share the slack, including this one. */
  countVms(): number;
  /** Called when this VM has few or no retries left for a service. */
  onLow(service: string): void;
  /** Asks peers for the retries that waiting requests lack; false if there is no peer. */
  borrowForWaiters?(service: string): boolean;
  /** Called when a request for a retry is granted, refused or withdrawn. */
  onRequestEnded?(service: string, end: RetryRequestEnd): void;
  /** Called when the budget of a service is created. */
  onCreated?(service: string, budget: PrioritisedRetryBudget): void;
}

/** Holds one budget per service, all with the same limits. */
export default class RetryBudgets {
  private readonly budgets = new Map<string, PrioritisedRetryBudget>();
  private limits: RetryBudgetLimits;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.limits = options.limits;
  }

  /** Returns the budget of a service, creating it on first use. */
  forService(service: string): PrioritisedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const budget = this.create(service);
    this.budgets.set(service, budget);
    this.options.onCreated?.(service, budget);
    return budget;
  }

  /** Number of requests that wait for a retry, over all services. */
  get waiting(): number {
    return [...this.budgets.values()].reduce((total, { waiting }) => total + waiting, 0);
  }

  /** Retries that waiting requests of a service lack; empty if none wait. */
  listNeeds(service: string): RetryNeed[] {
    return this.budgets.get(service)?.needs ?? [];
  }

  /**
   * Lends retries of a service to a peer and returns their number.
   * @param needs what the peer needs, by class; undefined if it is of an older release
   */
  lend(
    service: string,
    wanted: number,
    needs: readonly RetryNeed[] = [{ class: DEFAULT_BORROWER_CLASS, retries: wanted }],
  ): number {
    return this.forService(service).lendForNeeds(needs);
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

  private create(service: string): PrioritisedRetryBudget {
    const { clock, timers, random, knownSinceMs, countVms, onLow } = this.options;
    const { borrowForWaiters, onRequestEnded } = this.options;
    return new PrioritisedRetryBudget({
      ...{ limits: this.limits, clock, timers, random, knownSinceMs },
      countVms: () => countVms(),
      onLow: () => onLow(service),
      borrowForWaiters: () => borrowForWaiters?.(service) ?? false,
      onRequestEnded: (end) => onRequestEnded?.(service, end),
    });
  }
}
