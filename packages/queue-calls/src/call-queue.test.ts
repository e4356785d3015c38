import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet, { type FleetOptions } from './fleet.fixture.js';
import type SimulatedVm from './simulated-vm.fixture.js';
import { SERVICE, type SimulatedCall } from './simulated-vm.fixture.js';

/** Calls a second that two targets of six slots serve, each call taking 61 ms. */
const SERVED_PER_SECOND = 196;

function create(options: Partial<FleetOptions> = {}): Fleet {
  return new Fleet({ vms: 10, targets: 2, seed: 3, ...options });
}

function vmAt(fleet: Fleet, index: number): SimulatedVm {
  const vm = fleet.vms[index];
  if (vm === undefined) {
    throw new Error('no such VM');
  }
  return vm;
}

/** A fleet whose service is queued, in the middle of a load above what its targets serve. */
function createQueued(options: Partial<FleetOptions> = {}, untilMs = 20_000): Fleet {
  const fleet = create(options);
  fleet.startLoad(1.2 * SERVED_PER_SECOND, untilMs);
  fleet.clock.runUntil(1_500);
  assert.ok(fleet.vms.every(({ queue }) => queue.isQueued(SERVICE)));
  fleet.targets.forEach((target) => (target.mostAtOnce = 0));
  return fleet;
}

function shareInTime(calls: SimulatedCall[]): number {
  const inTime = calls.filter(
    ({ outcome, endedAtMs = Infinity, objectiveAtMs }) =>
      outcome === 'answered' && endedAtMs <= objectiveAtMs,
  );
  return inTime.length / calls.length;
}

function callsBetween(fleet: Fleet, fromMs: number, untilMs: number): SimulatedCall[] {
  return fleet.calls.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < untilMs);
}

function mostAtOnce(fleet: Fleet): number {
  return Math.max(...fleet.targets.map((target) => target.mostAtOnce));
}

test('at light load no call waits, and only reports are sent', () => {
  const fleet = create();
  fleet.startLoad(0.1 * SERVED_PER_SECOND, 10_000);
  fleet.clock.runUntil(12_000);
  assert.ok(fleet.calls.every(({ sentAtMs, arrivedAtMs }) => sentAtMs === arrivedAtMs));
  assert.equal([...new Set(fleet.messages.map(({ message }) => message.kind))], ['report-calls']);
  assert.ok(fleet.messages.length < 2 * fleet.calls.length);
});

test('a service with ample slots for the VMs causes no messages at full load', () => {
  const fleet = create({ vms: 3 });
  fleet.startLoad(1.2 * SERVED_PER_SECOND, 3_000);
  fleet.clock.runUntil(10_000);
  assert.is(fleet.messages.length, 0);
});

test('under load the targets hold no more calls than they can begin, and most calls are in time', () => {
  const fleet = createQueued();
  fleet.clock.runUntil(8_000);
  assert.ok(mostAtOnce(fleet) <= 8, `${mostAtOnce(fleet)} calls at once`);
  assert.ok(shareInTime(callsBetween(fleet, 1_500, 7_000)) > 0.7);
});

test('a queue that is not needed any more ends, and calls are sent at once again', () => {
  const fleet = createQueued({}, 2_000);
  fleet.clock.runUntil(9_000);
  assert.ok(fleet.vms.every(({ queue }) => !queue.isQueued(SERVICE)));
  const call = fleet.arrive(vmAt(fleet, 4));
  assert.is(call.sentAtMs, call.arrivedAtMs);
});

test('calls that can not meet their deadline are refused at once, and no other', () => {
  const fleet = createQueued();
  fleet.clock.runUntil(3_000);
  const hopeless = fleet.arrive(vmAt(fleet, 5), { untilMs: fleet.now + 40 });
  const other = fleet.arrive(vmAt(fleet, 5));
  const held = fleet.vms.map(({ waiting }) => waiting.length).reduce((a, b) => a + b);
  fleet.clock.runUntil(9_000);
  assert.is(hopeless.outcome, held > 0 ? 'refused' : 'answered');
  assert.is(other.outcome, 'answered');
  assert.ok((hopeless.retryAfterMs ?? 1) > 0);
});

test('a silent queue VM: the others send within their own part, and ask it again later', () => {
  const fleet = createQueued();
  fleet.isLost = (from) => from === 'vm0';
  // The last announcement of the queue VM holds until then.
  fleet.clock.runUntil(2_400);
  const alone = fleet.log.filter(({ event, isAlone }) => event === 'call-queue-alone' && isAlone);
  assert.is(new Set(alone.map(({ vm }) => vm)).size, 9);
  // The part of each VM is one call, since ten VMs share twelve slots.
  assert.ok(fleet.vms.slice(1).every((vm) => sum([...vm.inFlight.values()]) <= 1));
  assert.ok(callsBetween(fleet, 1_700, 2_300).some(({ outcome }) => outcome === 'answered'));
  fleet.isLost = () => false;
  fleet.clock.runUntil(5_000);
  assert.ok(fleet.log.some(({ event, isAlone }) => event === 'call-queue-alone' && !isAlone));
});

test('a dead queue VM: the next one learns the calls in progress and continues the queue', () => {
  const fleet = createQueued();
  fleet.kill(vmAt(fleet, 0));
  fleet.targets.forEach((target) => (target.mostAtOnce = 0));
  const grantsOf = (from: string): number =>
    fleet.messages.filter((sent) => sent.from === from && sent.message.kind === 'give-places')
      .length;
  fleet.clock.runUntil(1_500 + 140);
  assert.ok(fleet.messages.every(({ from, message }) => from !== 'vm1' || !hasGrants(message)));
  fleet.clock.runUntil(8_000);
  assert.ok(grantsOf('vm1') > 100);
  assert.ok(mostAtOnce(fleet) <= 2 * 6);
  assert.ok(fleet.vms.slice(1).every(({ queue }) => queue.isQueued(SERVICE)));
  assert.ok(shareInTime(callsBetween(fleet, 2_500, 7_000)) > 0.6);
});

test('a queue VM without state continues the queue of another one instead of ending it', () => {
  const fleet = createQueued();
  const next = vmAt(fleet, 1);
  // As a VM that has just started, it has no calls and was not told that the service is queued.
  next.waiting = [];
  const end = { service: SERVICE, isQueued: false, ttlMs: 0 };
  next.queue.onMessage('vm0', { kind: 'queue-state', ...end });
  fleet.chooseQueueVm = () => 'vm1';
  fleet.vms.filter((vm) => vm !== next).forEach(({ queue }) => queue.onVmLost('vm0'));
  fleet.clock.runUntil(2_500);
  assert.ok(fleet.vms.every(({ queue }) => queue.isQueued(SERVICE)));
  assert.ok(fleet.messages.every(({ message }) => !isEnd(message)));
});

test('lost messages: every tenth of each kind is lost, and places are neither lost nor given twice', () => {
  const fleet = createQueued();
  fleet.isLost = () => fleet.draw() < 0.1;
  fleet.clock.runUntil(10_000);
  assert.ok(fleet.targets.every(({ rejected }) => rejected === 0));
  assert.ok(shareInTime(callsBetween(fleet, 1_500, 9_000)) > 0.4);
  fleet.isLost = () => false;
  fleet.clock.runUntil(11_000);
  fleet.targets.forEach((target) => (target.mostAtOnce = 0));
  fleet.clock.runUntil(12_000);
  assert.ok(mostAtOnce(fleet) <= 8, `${mostAtOnce(fleet)} calls at once`);
  const running = fleet.targets.map(({ running: calls }) => calls);
  assert.ok(sum(running) >= 10, `running ${running.join(' ')}`);
});

test('a lost grant is reclaimed and its call gets another place', () => {
  // The load ends, so that no call has to be refused.
  const fleet = createQueued({}, 2_500);
  const lost: number[] = [];
  fleet.isLost = (_, to, message) => {
    const isLost = to === 'vm3' && lost.length === 0 && hasGrants(message);
    if (isLost && message.kind === 'give-places') {
      lost.push(...message.grants.map(([want]) => want));
    }
    return isLost;
  };
  fleet.clock.runUntil(8_000);
  assert.ok(lost.length > 0);
  const outcomes = lost.map((want) => fleet.calls.find(({ id }) => id === want)?.outcome);
  assert.ok(
    outcomes.every((outcome) => outcome === 'answered'),
    outcomes.join(' '),
  );
});

test('a target that leaves the directory: its places end and the others are used', () => {
  const fleet = createQueued();
  const [first, second] = fleet.targets;
  Object.assign(first ?? {}, { isDark: true, isListed: false });
  fleet.clock.runUntil(3_000);
  assert.ok((second?.calls ?? 0) >= 6);
});

test('a dark target gets no more than its places until the directory knows', () => {
  const fleet = createQueued();
  const [first] = fleet.targets;
  Object.assign(first ?? {}, { isDark: true });
  fleet.clock.runUntil(4_000);
  assert.ok((first?.mostAtOnce ?? 0) <= 8);
  assert.ok(shareInTime(callsBetween(fleet, 1_700, 3_500)) > 0.3);
});

test('a VM that dies with places: they end with its link', () => {
  const fleet = createQueued();
  const dead = vmAt(fleet, 7);
  fleet.kill(dead);
  fleet.clock.runUntil(6_000);
  assert.ok(fleet.targets.every(({ calls }) => calls >= 5));
});

test('a target that rejects gets fewer calls, and its rejections make no storm', () => {
  const fleet = createQueued();
  const [first] = fleet.targets;
  Object.assign(first ?? {}, { waitingPlaces: 0 });
  const before = fleet.calls.length;
  fleet.clock.runUntil(6_500);
  const arrived = fleet.calls.length - before;
  assert.ok((first?.rejected ?? 0) < 0.02 * arrived, `${first?.rejected} of ${arrived}`);
  assert.ok((first?.running ?? 0) >= 5);
});

test('older VMs beside new ones: their calls are not counted, and the targets queue them', () => {
  const fleet = create();
  // Messages of kinds that an older release does not know.
  fleet.isLost = (from, to) => ['vm8', 'vm9'].includes(from) || ['vm8', 'vm9'].includes(to);
  fleet.startLoad(1.1 * SERVED_PER_SECOND, 8_000);
  fleet.clock.runUntil(14_000);
  assert.not(vmAt(fleet, 9).queue.isQueued(SERVICE));
  assert.ok(vmAt(fleet, 9).waiting.length === 0);
  assert.ok(fleet.calls.filter(({ outcome }) => outcome === 'answered').length > 0.9 * fleet.calls.length); // prettier-ignore
});

test('an older release as queue VM ignores the reports, and calls are sent as before', () => {
  const fleet = create();
  fleet.isLost = (_, to) => to === 'vm0';
  for (let count = 0; count < 600; count += 1) {
    fleet.clock.after(count * 5, () => fleet.arrive(vmAt(fleet, 1 + (count % 9))));
  }
  fleet.clock.runUntil(9_000);
  assert.equal([...new Set(fleet.messages.map(({ message }) => message.kind))], ['report-calls']);
  assert.ok(fleet.calls.every(({ sentAtMs, arrivedAtMs }) => sentAtMs === arrivedAtMs));
});

test('two queue VMs for a moment give at most twice the places, and one of them resigns', () => {
  const fleet = createQueued();
  const second = vmAt(fleet, 1);
  fleet.chooseQueueVm = (asking) => (Number(asking?.name.slice(2)) % 2 === 0 ? 'vm0' : 'vm1');
  fleet.clock.runUntil(2_500);
  assert.ok(mostAtOnce(fleet) <= 2 * 7 + 1, `${mostAtOnce(fleet)} calls at once`);
  fleet.chooseQueueVm = () => 'vm0';
  fleet.clock.runUntil(4_000);
  fleet.targets.forEach((target) => (target.mostAtOnce = 0));
  fleet.clock.runUntil(6_000);
  assert.ok(mostAtOnce(fleet) <= 8, `${mostAtOnce(fleet)} calls at once`);
  assert.ok(second.isUp);
});

test('a fleet that starts is not queued before its reports reach 0.7 of the slots', () => {
  const fleet = create();
  fleet.arrive(vmAt(fleet, 3));
  fleet.clock.runUntil(100);
  assert.ok(fleet.vms.every(({ queue }) => !queue.isQueued(SERVICE)));
  assert.ok(fleet.messages.every(({ message }) => message.kind === 'report-calls'));
});

test('a place is used again within a round trip while calls wait', () => {
  const fleet = createQueued({ linkMs: 1.4 });
  let idle = 0;
  let samples = 0;
  for (let now = 2_000; now < 5_000; now += 1) {
    fleet.clock.runUntil(now);
    if (sum(fleet.vms.map(({ waiting }) => waiting.length)) > 5) {
      samples += 1;
      idle += sum(fleet.targets.map(({ running }) => 6 - running));
    }
  }
  assert.ok(samples > 500);
  assert.ok(idle / samples < 0.02 * 12, `${idle / samples} of 12 slots idle`);
});

function sum(numbers: number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function isEnd(message: { kind: string; isQueued?: boolean }): boolean {
  return message.kind === 'queue-state' && message.isQueued === false;
}

function hasGrants(message: { kind: string; grants?: unknown[] }): boolean {
  return message.kind === 'give-places' && (message.grants?.length ?? 0) > 0;
}

test.run();
