import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RunActivity from './run-activity.js';

// Guards against a run that is taken for silent because this VM itself did not read it.
test('a run whose reading is paused counts as active, and its silence starts anew afterwards', async () => {
  const { clock, advance } = createManualTime();
  const activity = new RunActivity({
    requestId: 'r1',
    target: {
      ...{ id: 't1', service: 'briefs', host: '127.0.0.1', port: 1, failureDomain: 'north' },
      ...{ slots: 4, leaving: false },
    },
    resumesFromReplica: false,
    policy: {
      ...{ suspicionFactor: 4, minSilenceMs: 240, maxSilenceMs: 2_000 },
      ...{ hedge: false, probeFirst: false },
    },
    maxPrefillMs: 100,
    clock,
    onSilent: () => undefined,
  });
  activity.recordActivity();
  const silentMs = (): number => clock.now() - activity.lastActivityAtMs;
  await advance(40);
  assert.is(silentMs(), 40);
  activity.setReadPaused(false);
  assert.is(silentMs(), 40);
  activity.setReadPaused(true);
  await advance(900);
  assert.is(silentMs(), 0);
  activity.setReadPaused(false);
  await advance(30);
  assert.is(silentMs(), 30);
});

test.run();
