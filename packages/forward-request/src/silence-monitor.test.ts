import createDecisionLog from '@limelead/decision-log';
import { createManualTime } from '@limelead/stand-ins';
import { TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TargetDialect } from './dialect.js';
import SilenceMonitor, { type MonitoredRun } from './silence-monitor.js';

const target: ServiceTarget = {
  id: 't1',
  service: 'briefs',
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'north',
  slots: 4,
  leaving: false,
};

/** Creates a monitor with one run whose silence limit is 250 ms. */
function create() {
  const { clock, timers, advance, jump } = createManualTime();
  const directory = new TargetDirectory(clock);
  directory.replaceAll([target]);
  const monitor = new SilenceMonitor({
    clock,
    timers,
    directory,
    connections: new TargetConnections({ clock, connectTimeoutMs: 1, maxIdlePerTarget: 1 }),
    dialect: {} as TargetDialect,
    log: createDecisionLog({ vm: 'test', clock, output: (_, done) => done() }),
  });
  let givenUp = 0;
  const run: MonitoredRun = {
    requestId: 'r1',
    target,
    lastActivityAtMs: clock.now(),
    startedAtMs: clock.now(),
    isWriting: true,
    missedProbes: 0,
    maxSilenceMs: () => 250,
    onSilent: () => (givenUp += 1),
  };
  monitor.monitor(run);
  return { clock, advance, jump, run, givenUp: () => givenUp };
}

test('a run that exceeds its silence limit is given up', async () => {
  const { advance, givenUp } = create();
  await advance(240);
  assert.is(givenUp(), 0);
  await advance(60);
  assert.is(givenUp(), 1);
});

test('after a stall of the process, buffered pieces are read before runs are given up', async () => {
  const { clock, advance, jump, run, givenUp } = create();
  await advance(60);
  jump(400);
  await advance(1);
  assert.is(givenUp(), 0);
  run.lastActivityAtMs = clock.now();
  await advance(100);
  assert.is(givenUp(), 0);
});

test.run();
