import createDecisionLog from '@limelead/decision-log';
import { createManualTime } from '@limelead/stand-ins';
import { TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TargetDialect } from './dialect.js';
import SilenceWatch, { type WatchedRun } from './silence-watch.js';

const target: ServiceTarget = {
  id: 't1',
  service: 'briefs',
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'north',
  slots: 4,
  leaving: false,
};

/** One run that writes and may be silent for 250 ms. */
function create() {
  const { clock, timers, advance, jump } = createManualTime();
  const directory = new TargetDirectory(clock);
  directory.replaceAll([target]);
  const watch = new SilenceWatch({
    clock,
    timers,
    directory,
    connections: new TargetConnections({ clock, connectTimeoutMs: 1, maxIdlePerTarget: 1 }),
    dialect: {} as TargetDialect,
    log: createDecisionLog({ vm: 'test', clock, output: (_, done) => done() }),
  });
  let givenUp = 0;
  const run: WatchedRun = {
    requestId: 'r1',
    target,
    heardAtMs: clock.now(),
    startedAtMs: clock.now(),
    isSending: true,
    missedInProbes: 0,
    boundMs: () => 250,
    onSilent: () => (givenUp += 1),
  };
  watch.watch(run);
  return { clock, advance, jump, run, givenUp: () => givenUp };
}

test('a run that is silent for longer than its bound is given up', async () => {
  const { advance, givenUp } = create();
  await advance(240);
  assert.is(givenUp(), 0);
  await advance(60);
  assert.is(givenUp(), 1);
});

test('after the process stood still, what came meanwhile is read before anyone is judged', async () => {
  const { clock, advance, jump, run, givenUp } = create();
  await advance(60);
  jump(400);
  await advance(1);
  assert.is(givenUp(), 0);
  run.heardAtMs = clock.now();
  await advance(100);
  assert.is(givenUp(), 0);
});

test.run();
