import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { getPresentPace, TargetDirectory, type TrackedServiceTarget } from './index.js';

const TARGET: ServiceTarget = {
  ...{ id: 't1', service: 's', host: 'h', port: 1, failureDomain: 'd', slots: 6 },
  leaving: false,
};
const LOAD = { running: 0, waiting: 0, slots: 6, pacePercent: 100 };

function create() {
  const time = { now: 10_000 };
  const directory = new TargetDirectory({ now: () => time.now });
  directory.replaceAll([TARGET]);
  const read = (): TrackedServiceTarget => directory.get('t1') as TrackedServiceTarget;
  const { advertisedLoads } = directory;
  return {
    time,
    directory,
    record: (load: Partial<typeof LOAD>) => advertisedLoads.record(read(), { ...LOAD, ...load }),
    requests: () => advertisedLoads.requestsAt(read()),
    pace: () => getPresentPace(directory, read()),
  };
}

// Guards against a target that looks idle to a VM because the calls of others are not published.
test('the stated requests count together with those that this VM sends afterwards', () => {
  const { directory, record, requests } = create();
  const end = directory.startRequest('t1');
  record({ running: 4 });
  assert.is(requests(), 4);
  directory.startRequest('t1');
  assert.is(requests(), 5);
  end();
  assert.is(requests(), 4);
  record({ running: 0 });
  assert.is(requests(), 1);
});

test('requests beyond the stated slots count twice', () => {
  const { record, requests } = create();
  record({ running: 6, waiting: 3 });
  assert.is(requests(), 12);
});

// Guards against outdated statements, which change many times per second.
test('a stated load holds for 300 ms, and then the counts and the measured slowness do', () => {
  const { time, directory, record, requests, pace } = create();
  record({ running: 5, pacePercent: 250 });
  time.now += 300;
  assert.equal([requests(), pace()], [5, 2.5]);
  time.now += 1;
  assert.equal([requests(), pace()], [0, 1]);
  directory.recordSlowness('t1', 3);
  assert.is(pace(), 3);
});

// Guards against sessions that change their target because of small differences of pace.
test('a pace close to the usual one, or faster, counts as usual', () => {
  const { record, pace } = create();
  for (const [pacePercent, expected] of [
    [40, 1] as const,
    [120, 1] as const,
    [150, 1.5] as const,
  ]) {
    record({ pacePercent });
    assert.is(pace(), expected);
  }
});

test.run();
