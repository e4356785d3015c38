import { test } from 'uvu';
import * as assert from 'uvu/assert';
import playShedFleet from './shed-fleet.fixture.js';

const plan = { vms: 6, targets: 8, tellsOthers: false, seed: 1 };

test('calls pass by the targets that shed, and none is sent into a cooldown', () => {
  const { calls, served, unwanted } = playShedFleet({
    ...{ ...plan, sheddingTargets: 0.25, shedShare: 1 },
  });
  assert.equal([served, unwanted], [calls, 0]);
});

test('where all targets shed all, calls are refused, and none is sent into a cooldown', () => {
  const { calls, served, late, refused, unwanted } = playShedFleet({
    ...{ ...plan, sheddingTargets: 1, shedShare: 1 },
  });
  assert.is(unwanted, 0);
  assert.ok(refused > calls / 2);
  assert.is(served + late + refused, calls);
});

test.run();
