/** Compares the forecasts and strategies of the design note; LIMELEAD_TABLE=1 prints its tables. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  simulateStrategy,
  STRATEGIES,
  type OrderStrategy,
  type StrategyCost,
} from './compare-strategies.fixture.js';
import { forecastByMeanAndDeviation, forecastByQuantile, type Forecast } from './forecast.js';

const SEEDS = [11, 12, 13];
const HEADROOM = 0;

function simulateAll(strategy: OrderStrategy, forecast: Forecast): StrategyCost {
  const total: StrategyCost = { price: 0, targetSeconds: 0, lateRuns: 0, orders: 0 };
  for (const seed of SEEDS) {
    const cost = simulateStrategy(strategy, forecast, seed);
    total.price += cost.price;
    total.targetSeconds += cost.targetSeconds;
    total.lateRuns += cost.lateRuns;
    total.orders += cost.orders;
  }
  return total;
}

function printRow(name: string, { price, targetSeconds, lateRuns, orders }: StrategyCost): void {
  if (process.env.LIMELEAD_TABLE !== undefined) {
    const cells = [price, targetSeconds, lateRuns, orders].map((figure) => Math.round(figure));
    process.stdout.write(`| ${[name, ...cells].join(' | ')} |\n`);
  }
}

const plannedStrategy = STRATEGIES['planned'] as OrderStrategy;

test('the planned strategy costs less than a third of keeping all plain, with no more late runs', () => {
  const costs = new Map(
    Object.entries(STRATEGIES).map(([name, strategy]) => [
      name,
      simulateAll(strategy, forecastByQuantile(HEADROOM)),
    ]),
  );
  costs.forEach((cost, name) => printRow(name, cost));
  const planned = costs.get('planned');
  const kept = costs.get('keep all plain');
  assert.ok(planned !== undefined && kept !== undefined);
  assert.ok(planned.price < kept.price / 3, `${planned.price} against ${kept.price}`);
  assert.ok(planned.lateRuns <= kept.lateRuns, `${planned.lateRuns} against ${kept.lateRuns}`);
  const cheapest = costs.get('cheapest plain');
  assert.ok(cheapest !== undefined && cheapest.lateRuns > planned.lateRuns);
});

test('the quantile forecast orders no more often than mean and deviation', () => {
  const byQuantile = simulateAll(plannedStrategy, forecastByQuantile(HEADROOM));
  const byDeviation = simulateAll(plannedStrategy, forecastByMeanAndDeviation(HEADROOM));
  printRow('quantile', byQuantile);
  printRow('level and swing', byDeviation);
  assert.ok(byQuantile.orders <= byDeviation.orders, `${byQuantile.orders}, ${byDeviation.orders}`);
});

test.run();
