import { test } from 'uvu';
import * as assert from 'uvu/assert';
import QueueSwitch from './queue-switch.js';

/** Updates every 10 ms for some time. */
function runFor(state: QueueSwitch, fromMs: number, forMs: number, inProgress: number): void {
  for (let now = fromMs; now <= fromMs + forMs; now += 10) {
    state.update(18, 30, inProgress, now);
  }
}

test('queueing starts at 0.7 of the slots and not below', () => {
  const state = new QueueSwitch();
  runFor(state, 0, 3_000, 12);
  assert.not(state.isOn);
  runFor(state, 3_000, 1_000, 13);
  assert.ok(state.isOn);
});

test('a short burst that fits into the slots starts no queue', () => {
  const state = new QueueSwitch();
  runFor(state, 0, 1_000, 5);
  runFor(state, 1_000, 60, 17);
  runFor(state, 1_070, 1_000, 5);
  assert.not(state.isOn);
});

test('queueing ends after two seconds below 0.5 of the slots, and not in a shorter pause', () => {
  const state = new QueueSwitch(true);
  runFor(state, 0, 1_900, 8);
  runFor(state, 1_910, 500, 12);
  assert.ok(state.isOn);
  runFor(state, 2_420, 1_900, 8);
  assert.ok(state.isOn);
  runFor(state, 4_330, 1_000, 8);
  assert.not(state.isOn);
});

test('a service with ample slots for the VMs is never queued', () => {
  const state = new QueueSwitch();
  state.update(24, 6, 1_000, 0);
  assert.not(state.isOn);
  state.update(23, 6, 1_000, 1_000);
  assert.ok(state.isOn);
});

test('a VM without peers is never queued, since it queues its own calls', () => {
  const state = new QueueSwitch();
  state.update(2, 1, 1_000, 0);
  assert.not(state.isOn);
});

test('the loss of all targets for a moment does not end queueing', () => {
  const state = new QueueSwitch(true);
  state.update(0, 30, 0, 0);
  state.update(0, 30, 0, 10_000);
  assert.ok(state.isOn);
});

test.run();
