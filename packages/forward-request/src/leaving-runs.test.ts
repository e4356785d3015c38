import { createManualTime } from '@limelead/stand-ins';
import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LeavingRuns from './leaving-runs.js';

const TARGET = { id: 't', isSpot: true, leavesInMs: 2_500 } as ServiceTarget;

function createRuns() {
  const time = createManualTime();
  let drawn = 0;
  const runs = new LeavingRuns({
    timers: time.timers,
    random: { next: () => (drawn += 0.25) % 1 },
    log: { write: () => undefined, flush: async () => undefined, dropped: 0 },
  });
  const moved: string[] = [];
  const watch = (name: string, target = TARGET) =>
    runs.watch({ target, moveOn: () => moved.push(name) > 0 });
  return { time, runs, moved, watch };
}

test('runs go on elsewhere one after the other, ahead of the end of their target', async () => {
  const { time, runs, moved, watch } = createRuns();
  watch('a');
  watch('b');
  const end = watch('ends by itself');
  watch('elsewhere', { ...TARGET, id: 'other' });
  runs.leave(TARGET);
  end();
  await time.advance(600);
  assert.equal(moved, ['a']);
  await time.advance(1_400);
  assert.equal(moved, ['a', 'b']);
});

test('a plain target lets its runs end', async () => {
  const { time, runs, moved, watch } = createRuns();
  watch('a');
  runs.leave({ ...TARGET, isSpot: false, leavesInMs: undefined });
  await time.advance(5_000);
  assert.equal(moved, []);
});

test.run();
