/** Guards against placement that fills the memory of engines, or lets one domain queue alone. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PlacementPlan } from './placement-plan.fixture.js';
import replayPlacement from './placement-replay.fixture.js';

const SEED = 1;
const H: PlacementPlan = {
  ...{ variant: 'memory', vms: 30, engines: 126, domains: 4, slots: 32, streamsPerSecond: 33.5 },
  ...{ outputTokens: 780, msPerOutputToken: 4.84, objectiveMs: 4_506, seed: SEED },
  ...{ longShare: 0, firstDomainShare: 0.25, hasDomainLosses: false, hasSlowTargets: true },
};

test('no engine exceeds its memory, also with long prompts and under the loss of domains', () => {
  for (const plan of [
    { ...H, longShare: 0.1 },
    { ...H, hasDomainLosses: true },
  ]) {
    const { maxMemoryShare, preemptions } = replayPlacement(plan);
    assert.equal([preemptions, maxMemoryShare <= 1], [0, true], `share ${maxMemoryShare}`);
  }
});

test('with even load the choice is the same as by slots', () => {
  assert.equal(replayPlacement(H), replayPlacement({ ...H, variant: 'slots' }));
});

// Half of the demand at the VMs of one of four domains is twice what its own engines get by itself.
test('with uneven demand work moves to other domains before it waits', () => {
  const even = replayPlacement(H);
  const uneven = replayPlacement({ ...H, firstDomainShare: 0.5 });
  assert.ok(uneven.elsewhere > even.elsewhere, `${uneven.elsewhere} and ${even.elsewhere}`);
  assert.equal([uneven.limited, uneven.preemptions], [0, 0]);
  assert.ok(uneven.inTime >= even.inTime, `${uneven.inTime} and ${even.inTime} in time`);
});

test.run();
