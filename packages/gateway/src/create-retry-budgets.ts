/** Connects the retry budgets to the exchange with peers, to the log and to the metrics. */
import { createRateLimitedLog, type DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { PeerExchange } from '@limelead/share-evidence';
import { RetryBudgets, type RetryBudgetLimits } from '@limelead/spend-retries';
import type { Clock, Random, Timers } from '@limelead/types';

/** Minimum number of VMs assumed to share the retry budget, until peers report more. */
const MIN_VMS = 6;
/** A VM that has just started and has its part of the slack, while other VMs do not count it yet. */
const STARTING_VMS = 1;

/** Dependencies of the retry budgets. */
export interface RetryBudgetDependencies {
  limits: RetryBudgetLimits;
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  metrics: Metrics;
  readExchange(): Pick<PeerExchange, 'retries' | 'totalVmCount'> | undefined;
}

/** Creates the retry budgets of one VM. */
export default function createRetryBudgets({
  limits,
  clock,
  timers,
  random,
  log,
  metrics,
  readExchange,
}: RetryBudgetDependencies): RetryBudgets {
  const logWaited = createRateLimitedLog(log, clock, 'retry-waited');
  const countVms = (): number =>
    Math.max(MIN_VMS, (readExchange()?.totalVmCount ?? 0) + STARTING_VMS);
  const budgets = new RetryBudgets({
    ...{ limits, clock, timers, random, countVms },
    knownSinceMs: clock.now(),
    onLow: (service) => readExchange()?.retries.borrow(service),
    borrowForWaiters: (service) => readExchange()?.retries.borrowForWaiters(service) ?? false,
    onCreated: (service, budget) =>
      metrics.gauge(
        'limelead_retry_budget_available',
        () => budget.countAvailable(clock.now(), countVms()),
        { service },
      ),
    onRequestEnded: (service, { request, outcome, waitedMs, hasWaited }) => {
      metrics.count('limelead_retry_requests_total', 1, { class: request.class, outcome });
      if (hasWaited) {
        logWaited({
          requestId: request.requestId,
          service,
          class: request.class,
          rank: request.rank,
          waitedMs: Math.round(waitedMs),
          outcome,
        });
      }
    },
  });
  metrics.gauge('limelead_retry_waiters', () => budgets.waiting);
  return budgets;
}
