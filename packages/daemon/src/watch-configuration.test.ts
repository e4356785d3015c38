import { PortFault } from '@limelead/errors';
import createMetrics from '@limelead/metrics';
import type { StoredConfiguration } from '@limelead/store-configuration';
import { createManualTime } from '@limelead/stand-ins';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ConfigurationHolder from './configuration-holder.js';
import type { VmContext } from './vm-context.js';
import watchConfiguration from './watch-configuration.js';

test('after a failed watch, the store is read at once until it answers, not watched again', async () => {
  const { clock, timers, advance } = createManualTime();
  const holder = new ConfigurationHolder();
  const found: StoredConfiguration = {
    configuration: { ...holder.configuration, revision: 3 },
    changes: [],
    headVersion: 7,
    storedRevision: 3,
  };
  const answers = [true, true, false, false, true, true];
  const calls: string[] = [];
  const answer = (call: string) => async (): Promise<E.Either<PortFault, StoredConfiguration>> => {
    calls.push(call);
    return answers.shift() === true
      ? E.right(found)
      : E.left(new PortFault('timeout', 'maybe', 'no answer'));
  };
  const context = {
    clock,
    timers,
    random: { next: () => 0.5 },
    metrics: createMetrics(),
    logger: { warn: () => undefined, error: () => undefined },
    settings: { id: 'vm-1', timing: { configurationWaitMs: 5_000 } },
    members: { present: () => [] },
    configuration: holder,
    configurationStore: { read: () => answer('read'), watch: () => answer('watch') },
  } as unknown as VmContext;
  const loop = watchConfiguration(context);
  await advance(1_300);
  loop.stop();
  assert.equal(calls, ['read', 'watch', 'watch', 'read', 'read', 'watch']);
});

test.run();
