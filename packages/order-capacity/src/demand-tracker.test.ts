import { test } from 'uvu';
import * as assert from 'uvu/assert';
import * as E from 'fp-ts/lib/Either.js';
import DemandTracker, { type ServiceDemand } from './demand-tracker.js';
import { capacityCodec, withCapacityDefaults } from './settings.js';

const NONE: ServiceDemand = {
  ...{ service: 's', arrived: 0, promptTokens: 0, running: 0, waiting: 0 },
  ...{ begunTokens: 0, begunMs: 0 },
};

function tell(
  book: DemandTracker,
  vm: string,
  arrived: number,
  now: number,
  incarnation = '1',
): void {
  const services = [{ ...NONE, arrived, promptTokens: arrived * 100, running: 2 }];
  book.recordReport(vm, { incarnation, services }, now);
}

test('a report that is lost, repeated or followed by a restart counts every request once', () => {
  const book = new DemandTracker();
  tell(book, 'a', 0, 0);
  tell(book, 'a', 10, 1_000);
  tell(book, 'a', 10, 1_500);
  tell(book, 'a', 40, 4_000);
  tell(book, 'a', 5, 5_000, '2');
  tell(book, 'a', 9, 6_000, '2');
  const known = book.estimate('s', 7_000);
  assert.equal(known?.tokensBySecond, [1_000, 1_000, 1_000, 1_000, 0, 400]);
  assert.is(known?.runs, 2);
});

test('nothing is known of a service that nobody asked for', () => {
  const book = new DemandTracker();
  book.recordReport('a', { incarnation: '1', services: [NONE] }, 0);
  assert.is(book.estimate('s', 5_000), undefined);
});

test('the load of a VM that is silent is taken from the others until it is gone', () => {
  const book = new DemandTracker();
  for (let second = 0; second <= 10; second += 1) {
    tell(book, 'a', second * 10, second * 1_000);
    tell(book, 'b', second < 5 ? second * 10 : 40, second < 5 ? second * 1_000 : 4_000);
  }
  assert.is(book.estimate('s', 11_000)?.runs, 4);
  assert.is(book.estimate('s', 11_000)?.tokensBySecond.at(-1), 2_000);
});

test('settings out of their bounds are refused; those left out have defaults', () => {
  assert.ok(E.isLeft(capacityCodec.decode({ load: 90 })));
  assert.ok(E.isLeft(capacityCodec.decode({ headroom: -1 })));
  assert.is(withCapacityDefaults({ headroom: 0.5 }).headroom, 0.5);
  assert.is(withCapacityDefaults().usesSpot, false);
  assert.is(withCapacityDefaults({ usesSpot: true }).usesSpot, true);
});

test.run();
