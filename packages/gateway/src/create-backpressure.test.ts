import createMetrics from '@limelead/metrics';
import { TargetDirectory } from '@limelead/track-service-targets';
import { NO_DIRECTIVES } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createBackpressure from './create-backpressure.js';
import type { FleetComponentContext } from './fleet-component.js';

// Guards against a stated pace that placement follows and the detection of silent runs does not.
test('a stated load changes the expected requests and the pace of its target', () => {
  const clock = { now: () => 0 };
  const directory = new TargetDirectory(clock);
  const address = { host: 'h', port: 1, failureDomain: 'd', slots: 4, leaving: false };
  directory.replaceAll([{ id: 't1', service: 's', ...address }]);
  const backpressure = createBackpressure({
    ...{ clock, directory, metrics: createMetrics(), random: { next: () => 0 } },
    log: { write: () => undefined, flush: () => Promise.resolve(), dropped: 0 },
    readExchange: () => undefined,
  } as Partial<FleetComponentContext> as FleetComponentContext);
  const load = { kind: 'load', running: 3, waiting: 0, slots: 4, pacePercent: 250 } as const;
  backpressure.onResponse({
    ...{ target: 't1', requestId: 'r', sentAtMs: 0 },
    directives: { ...NO_DIRECTIVES, load },
  });
  assert.is(directory.paceOf('t1'), 2.5);
  const tracked = directory.get('t1');
  assert.is(tracked && directory.advertisedLoads.requestsAt(tracked), 3);
});

test.run();
