import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet from './fleet.fixture.js';
import type SimulatedVm from './simulated-vm.fixture.js';
import { SERVICE } from './simulated-vm.fixture.js';

/** Ten VMs whose service is queued, in the middle of a load above what its two targets serve. */
function createQueued(): Fleet {
  const fleet = new Fleet({ vms: 10, targets: 2, seed: 3 });
  fleet.startLoad(235, 20_000);
  fleet.clock.runUntil(1_500);
  assert.ok(fleet.vms.every(({ queue }) => queue.isQueued(SERVICE)));
  return fleet;
}

function vmAt({ vms }: Fleet, index: number): SimulatedVm {
  return vms[index] as SimulatedVm;
}

// Guards against a target that a VM does not know yet, where each place given to it came back.
test('a VM gets places only at targets that it knows', () => {
  const fleet = createQueued();
  const vm = vmAt(fleet, 5);
  vm.unknownTargets.add('t1');
  const from = fleet.messages.length;
  fleet.clock.runUntil(3_500);
  const released = fleet.messages
    .slice(from)
    .filter(
      ({ from: sender, message }) =>
        sender === vm.name && message.kind === 'release-place' && message.target === 't1',
    );
  assert.ok(released.length < 15, `${released.length} places returned`);
  const calls = fleet.calls.filter(
    ({ arrivedAtMs }) => arrivedAtMs >= 1_500 && arrivedAtMs < 3_000,
  );
  assert.ok(calls.filter(({ sentAtMs }) => sentAtMs !== undefined).length > 0.5 * calls.length);
});

// Guards against a VM that sends without places although it is the queue VM itself.
test('a VM that takes the queue over does not wait for the answer of the earlier queue VM', () => {
  const fleet = createQueued();
  const first = vmAt(fleet, 0);
  fleet.isLost = (from) => from === first.name;
  fleet.arrive(vmAt(fleet, 1));
  fleet.clock.runUntil(1_550);
  fleet.kill(first);
  fleet.clock.runUntil(2_500);
  const alone = fleet.log.filter(({ event, isAlone }) => event === 'call-queue-alone' && isAlone);
  assert.equal(
    alone.filter(({ vm }) => vm === 'vm1'),
    [],
  );
});

// Guards against an earlier queue VM without calls of its own, which nobody tells that it is replaced.
test('an earlier queue VM stops to announce the queue and to give places', () => {
  const fleet = new Fleet({ vms: 10, targets: 2, seed: 3 });
  for (let index = 0; index < 1_200; index += 1) {
    fleet.clock.after(index * 4, () => fleet.arrive(vmAt(fleet, 2 + (index % 8))));
  }
  fleet.clock.runUntil(1_500);
  assert.ok(vmAt(fleet, 5).queue.isQueued(SERVICE));
  fleet.isLost = (_, to) => to === 'vm0';
  fleet.clock.runUntil(1_510);
  fleet.chooseQueueVm = () => 'vm1';
  fleet.clock.runUntil(1_600);
  const from = fleet.messages.length;
  fleet.clock.runUntil(5_000);
  const sent = fleet.messages.slice(from);
  assert.ok(sent.some((message) => message.from === 'vm1'));
  assert.not(sent.some((message) => message.from === 'vm0'));
});

test.run();
