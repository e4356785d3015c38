import { test } from 'uvu';
import * as assert from 'uvu/assert';
import simulateLoadShedding from './load-shedding.fixture.js';

const plan = { vms: 6, targets: 8, publishesCooldowns: false, seed: 1 };

test('calls are served by the targets that shed no load, and none is sent during a cooldown', () => {
  const { calls, served, sendsDuringCooldown } = simulateLoadShedding({
    ...{ ...plan, sheddingTargetShare: 0.25, rejectedShare: 1 },
  });
  assert.equal([served, sendsDuringCooldown], [calls, 0]);
});

test('calls are refused when every target sheds all load, and none is sent during a cooldown', () => {
  const { calls, served, late, refused, sendsDuringCooldown } = simulateLoadShedding({
    ...{ ...plan, sheddingTargetShare: 1, rejectedShare: 1 },
  });
  assert.is(sendsDuringCooldown, 0);
  assert.ok(refused > calls / 2);
  assert.is(served + late + refused, calls);
});

test.run();
