import createMetrics from '@limelead/metrics';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createRetryBudgets from './create-retry-budgets.js';

interface Line {
  event: string;
  fields: Record<string, unknown>;
}

const WINDOW_MS = 10_000;

/** Budgets of a VM that knows 29 other VMs and has run for a window, on a manual clock. */
function create() {
  const time = { now: 0 };
  const lines: Line[] = [];
  const asked: string[] = [];
  const metrics = createMetrics();
  const budgets = createRetryBudgets({
    limits: { ratio: 0, slack: 62, windowMs: WINDOW_MS },
    clock: { now: () => time.now },
    timers: { after: () => () => undefined },
    random: { next: () => 0 },
    log: {
      write: (event, fields = {}) => void lines.push({ event, fields }),
      flush: () => Promise.resolve(),
      dropped: 0,
    },
    metrics,
    readExchange: () =>
      ({
        totalVmCount: 30,
        retries: {
          borrow: (service: string) => asked.push(`${service}: precaution`),
          borrowForWaiters: (service: string) => asked.push(`${service}: waiting`) > 0,
        },
      }) as never,
  });
  time.now = WINDOW_MS;
  return { budgets, time, lines, asked, metrics };
}

const REQUEST = {
  class: 'stream-written',
  rank: 2,
  lateAtMs: WINDOW_MS + 700,
  untilMs: WINDOW_MS + 9_000,
} as const;

// Guards against a VM that started and that peers do not count yet: its part is left free.
test('the slack is shared by all known VMs and one that has just started', () => {
  const { budgets, time } = create();
  const available = budgets.forService('s').countAvailable(time.now, 31);
  assert.ok(Math.abs(available - (0.95 * 62) / 31) < 1e-9);
});

test('a wait is logged once with its outcome, and peers are asked at once', () => {
  const { budgets, time, lines, asked, metrics } = create();
  const budget = budgets.forService('s');
  budget.requestRetry({ ...REQUEST, requestId: 'r1' }, () => undefined);
  assert.equal(lines, []);
  assert.equal(asked, ['s: precaution']);
  budget.requestRetry({ ...REQUEST, requestId: 'r2' }, () => undefined);
  assert.equal(asked, ['s: precaution', 's: waiting']);
  assert.match(metrics.render(), /limelead_retry_waiters 1\n/);
  time.now += 20;
  budgets.borrow('s', 1);
  assert.equal(lines, [
    {
      event: 'retry-waited',
      fields: {
        ...{ requestId: 'r2', service: 's', class: 'stream-written', rank: 2 },
        ...{ waitedMs: 20, outcome: 'granted' },
      },
    },
  ]);
  const labels = { class: 'stream-written', outcome: 'granted' };
  assert.is(metrics.counterValue('limelead_retry_requests_total', labels), 2);
  assert.match(metrics.render(), /limelead_retry_waiters 0\n/);
  assert.match(metrics.render(), /limelead_retry_budget_available\{service="s"\} 0\./);
});

test.run();
