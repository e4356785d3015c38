import createMetrics from '@limelead/metrics';
import type { RetryBudgets, RetryRequest } from '@limelead/spend-retries';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createRetryBudgets from './create-retry-budgets.js';

const LIMITS = { ratio: 0.8, slack: 150, windowMs: 10_000 };
const STEP_MS = 100;
const DOWN_MS = 500;
const RETRIES_WANTED_PER_REQUEST = 4;

interface Vm {
  budgets: RetryBudgets;
  /** Times at which the process is killed; it is back after `DOWN_MS`. */
  killedAtMs: number[];
}

interface Fleet {
  vms: number;
  requestsPerStep: number;
  durationMs: number;
  killedAtMs(vm: number): number[];
  /** Other VMs that a process of that age knows. */
  countKnown(ageMs: number): number;
}

function createBudgets(time: { now: number }, fleet: Fleet): RetryBudgets {
  const startedAtMs = time.now;
  return createRetryBudgets({
    limits: LIMITS,
    clock: { now: () => time.now },
    timers: { after: () => () => undefined },
    random: { next: () => 0 },
    log: { write: () => undefined, flush: () => Promise.resolve(), dropped: 0 },
    metrics: createMetrics(),
    readExchange: () =>
      ({
        totalVmCount: fleet.countKnown(time.now - startedAtMs),
        retries: { borrow: () => undefined, borrowForWaiters: () => false },
      }) as never,
  });
}

/** Requests one retry that is of no use later, and sends it if it is granted. */
function wasGranted(budget: ReturnType<RetryBudgets['forService']>, now: number): boolean {
  const request = { class: 'call-repeat', rank: 0, lateAtMs: now, untilMs: now, requestId: 'r' };
  let granted = false;
  budget.requestRetry(request as RetryRequest, (decision) => {
    if (decision.outcome === 'granted') {
      budget.recordSent(decision.retry, now);
      granted = true;
    }
  });
  return granted;
}

/** Plays a fleet whose targets fail every attempt; returns the most retries above the limit. */
function countExcess(fleet: Fleet): number {
  const time = { now: 0 };
  const vms: Vm[] = Array.from({ length: fleet.vms }, (_, vm) => ({
    budgets: createBudgets(time, fleet),
    killedAtMs: fleet.killedAtMs(vm),
  }));
  const requests: number[] = [];
  const retries: number[] = [];
  for (; time.now < fleet.durationMs; time.now += STEP_MS) {
    vms.forEach((vm) => {
      if (vm.killedAtMs.includes(time.now - DOWN_MS)) {
        vm.budgets = createBudgets(time, fleet);
      }
    });
    const up = vms.filter(
      ({ killedAtMs }) => !killedAtMs.some((at) => at <= time.now && time.now < at + DOWN_MS),
    );
    for (let index = 0; index < fleet.requestsPerStep; index += 1) {
      requests.push(time.now);
      const budget = up[(requests.length * 7) % Math.max(1, up.length)]?.budgets.forService('s');
      budget?.recordFirstAttempt(time.now);
      for (let retry = 0; retry < RETRIES_WANTED_PER_REQUEST; retry += 1) {
        if (budget !== undefined && wasGranted(budget, time.now)) {
          retries.push(time.now);
        }
      }
    }
  }
  const countIn = (times: number[], endMs: number): number =>
    times.filter((at) => at <= endMs && at > endMs - LIMITS.windowMs).length;
  const excesses = [...new Set(retries)].map((endMs) => {
    const { ratio, slack, windowMs } = LIMITS;
    const counted = [endMs, endMs - windowMs / 2, endMs - windowMs];
    const most = Math.max(...counted.map((at) => countIn(requests, at)));
    return countIn(retries, endMs) - ratio * most - slack;
  });
  return Math.max(...excesses);
}

// Guards against VMs that have the slack once more with each start.
test('VMs that are killed together share one budget with their lives before', () => {
  const fleet = { vms: 6, requestsPerStep: 3, durationMs: 40_000, countKnown: () => 5 };
  const excess = countExcess({ ...fleet, killedAtMs: () => [14_000, 17_000, 20_000] });
  assert.ok(excess <= 0, `${excess.toFixed(1)} retries above the limit`);
});

// Guards against a release that renews the slack of one VM after the other.
test('VMs that restart in turn share one budget with their lives before', () => {
  const fleet = { vms: 6, requestsPerStep: 3, durationMs: 40_000, countKnown: () => 5 };
  const killedAtMs = (vm: number): number[] => [13_000 + vm * 800, 20_000 + vm * 800];
  const excess = countExcess({ ...fleet, killedAtMs });
  assert.ok(excess <= 0, `${excess.toFixed(1)} retries above the limit`);
});

// Guards against a slack that is divided by the few VMs that a new process knows.
test('VMs that do not know each other yet share one budget', () => {
  const fleet = { vms: 71, requestsPerStep: 40, durationMs: 30_000 };
  const countKnown = (ageMs: number): number => (ageMs < 1_000 ? 0 : 70);
  const excess = countExcess({ ...fleet, killedAtMs: () => [14_000], countKnown });
  assert.ok(excess <= 0, `${excess.toFixed(1)} retries above the limit`);
});

test.run();
