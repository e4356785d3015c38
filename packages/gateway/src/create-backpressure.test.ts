import createMetrics from '@limelead/metrics';
import { TargetDirectory } from '@limelead/track-service-targets';
import { NO_DIRECTIVES, type ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createBackpressure from './create-backpressure.js';

const TARGET: ServiceTarget = {
  ...{ id: 't1', service: 's', host: 'h', port: 1, failureDomain: 'd', slots: 6 },
  leaving: false,
};

// Guards against moves of runs to a target that states a slow pace and of which this VM has no run.
test('the pace that a target states counts as its present pace for 300 ms', () => {
  const time = { now: 1_000 };
  const clock = { now: () => time.now };
  const directory = new TargetDirectory(clock);
  directory.replaceAll([TARGET]);
  const backpressure = createBackpressure({
    ...{ clock, directory, metrics: createMetrics(), random: { next: () => 0.5 } },
    log: { write: () => undefined, flush: () => Promise.resolve(), dropped: 0 },
    readExchange: () => undefined,
  });
  const load = { kind: 'load' as const, running: 3, waiting: 0, slots: 6, pacePercent: 250 };
  backpressure.onResponse({
    ...{ target: 't1', requestId: 'r1', sentAtMs: 990 },
    directives: { ...NO_DIRECTIVES, load },
  });
  assert.is(directory.paceOf('t1'), 2.5);
  const tracked = directory.get('t1');
  assert.is(tracked && directory.advertisedLoads.requestsAt(tracked), 3);
  time.now += 300;
  assert.is(directory.paceOf('t1'), 1);
});

test.run();
