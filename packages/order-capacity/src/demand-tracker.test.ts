import { test } from 'uvu';
import * as assert from 'uvu/assert';
import * as E from 'fp-ts/lib/Either.js';
import DemandTracker, { type ServiceDemand } from './demand-tracker.js';
import { capacityCodec, withCapacityDefaults } from './settings.js';

const NONE: ServiceDemand = {
  ...{ service: 's', arrived: 0, promptTokens: 0, running: 0, waiting: 0 },
  ...{ begunTokens: 0, begunMs: 0 },
};

function report(
  tracker: DemandTracker,
  vm: string,
  arrived: number,
  now: number,
  incarnation = '1',
): void {
  const services = [{ ...NONE, arrived, promptTokens: arrived * 100, running: 2 }];
  tracker.recordReport(vm, { incarnation, services }, now);
}

test('every request counts once despite lost or repeated reports and restarts', () => {
  const tracker = new DemandTracker();
  report(tracker, 'a', 0, 0);
  report(tracker, 'a', 10, 1_000);
  report(tracker, 'a', 10, 1_500);
  report(tracker, 'a', 40, 4_000);
  report(tracker, 'a', 5, 5_000, '2');
  report(tracker, 'a', 9, 6_000, '2');
  const estimate = tracker.estimate('s', 7_000);
  assert.equal(estimate?.tokensBySecond, [1_000, 1_000, 1_000, 1_000, 0, 400]);
  assert.is(estimate?.runs, 2);
});

test('there is no estimate for a service without requests', () => {
  const tracker = new DemandTracker();
  tracker.recordReport('a', { incarnation: '1', services: [NONE] }, 0);
  assert.is(tracker.estimate('s', 5_000), undefined);
});

test('the load of a silent VM is estimated from the others until it expires', () => {
  const tracker = new DemandTracker();
  for (let second = 0; second <= 10; second += 1) {
    report(tracker, 'a', second * 10, second * 1_000);
    report(tracker, 'b', second < 5 ? second * 10 : 40, second < 5 ? second * 1_000 : 4_000);
  }
  assert.is(tracker.estimate('s', 11_000)?.runs, 4);
  assert.is(tracker.estimate('s', 11_000)?.tokensBySecond.at(-1), 2_000);
});

test('settings out of bounds are rejected; omitted ones have defaults', () => {
  assert.ok(E.isLeft(capacityCodec.decode({ load: 90 })));
  assert.ok(E.isLeft(capacityCodec.decode({ headroom: -1 })));
  assert.is(withCapacityDefaults({ headroom: 0.5 }).headroom, 0.5);
  assert.is(withCapacityDefaults().usesSpot, false);
  assert.is(withCapacityDefaults({ usesSpot: true }).usesSpot, true);
});

test.run();
