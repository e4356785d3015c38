/** The forecasts and ways that the design note compares; LIMELEAD_TABLE=1 prints its tables. */
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

function playAll(way: OrderStrategy, forecast: Forecast): StrategyCost {
  const total: StrategyCost = { price: 0, targetSeconds: 0, lateRuns: 0, orders: 0 };
  for (const seed of SEEDS) {
    const cost = simulateStrategy(way, forecast, seed);
    total.price += cost.price;
    total.targetSeconds += cost.targetSeconds;
    total.lateRuns += cost.lateRuns;
    total.orders += cost.orders;
  }
  return total;
}

function show(name: string, { price, targetSeconds, lateRuns, orders }: StrategyCost): void {
  if (process.env.LIMELEAD_TABLE !== undefined) {
    const cells = [price, targetSeconds, lateRuns, orders].map((figure) => Math.round(figure));
    process.stdout.write(`| ${[name, ...cells].join(' | ')} |\n`);
  }
}

const plan = STRATEGIES['planned'] as OrderStrategy;

test('the planned way costs a third of keeping all plain, and makes no more runs late', () => {
  const costs = new Map(
    Object.entries(STRATEGIES).map(([name, way]) => [
      name,
      playAll(way, forecastByQuantile(HEADROOM)),
    ]),
  );
  costs.forEach((cost, name) => show(name, cost));
  const planned = costs.get('planned');
  const kept = costs.get('keep all plain');
  assert.ok(planned !== undefined && kept !== undefined);
  assert.ok(planned.price < kept.price / 3, `${planned.price} against ${kept.price}`);
  assert.ok(planned.lateRuns <= kept.lateRuns, `${planned.lateRuns} against ${kept.lateRuns}`);
  const cheapest = costs.get('cheapest plain');
  assert.ok(cheapest !== undefined && cheapest.lateRuns > planned.lateRuns);
});

test('the quantile orders no more often than level and swing', () => {
  const byQuantile = playAll(plan, forecastByQuantile(HEADROOM));
  const bySwing = playAll(plan, forecastByMeanAndDeviation(HEADROOM));
  show('quantile', byQuantile);
  show('level and swing', bySwing);
  assert.ok(byQuantile.orders <= bySwing.orders, `${byQuantile.orders}, ${bySwing.orders}`);
});

test.run();
