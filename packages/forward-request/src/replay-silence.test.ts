import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { quantileOf, replaySeeds, SCENARIOS } from './compare-silence.fixture.js';

const SEEDS = 2;
/** Longest time from the last piece before a dark crash to the resumed send, at p95. */
const MAX_RESUMED_SEND_MS = 450;

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  if (scenario.isDark === true) {
    test(`${name}: runs resume within 450 ms of the last piece at p95, and none is missed`, async () => {
      const { missed, resumedAfterMs } = await replaySeeds(scenario, SEEDS, 'new');
      assert.is(missed, 0);
      assert.is(resumedAfterMs.length, SEEDS * scenario.affected * 2);
      assert.ok((quantileOf(resumedAfterMs, 0.95) ?? Infinity) <= MAX_RESUMED_SEND_MS);
    });
  } else {
    test(`${name}: no run leaves a target that is up`, async () => {
      const { falseAbandonments } = await replaySeeds(scenario, SEEDS, 'new');
      assert.is(falseAbandonments, 0);
    });
  }
}

test('beside one prompt at a slowed target no run moves and no pause is late; the replaced rule moved runs', async () => {
  const scenario = SCENARIOS['slowed and beside a prompt'];
  assert.ok(scenario);
  const before = await replaySeeds(scenario, SEEDS, 'old');
  const after = await replaySeeds(scenario, SEEDS, 'new');
  assert.ok(before.falseAbandonments > 0, 'the replay shows the fault of the replaced rule');
  assert.is(after.falseAbandonments, 0);
  assert.is(after.latePauses, 0);
});

test.run();
