import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SimulatedFleet } from './fleet.fixture.js';

const SEEDS = 3;

test('195 VMs that start together know each other within 3 s, over few links', () => {
  const fleet = new SimulatedFleet(195);
  fleet.advanceTo(3_000);
  const vms = [...fleet.vms.values()];
  assert.equal([...new Set(vms.map(({ membership }) => membership.count))], [195]);
  const opened = vms.reduce((sum, vm) => sum + vm.opened, 0) / vms.length;
  // Up to 12 for gossip, and the four schedulers of such a fleet.
  assert.ok(opened <= 12 + 4, `${opened} links opened a VM`);
  fleet.advanceTo(12_000);
  // Seeds have more links, since each VM links to one of them at intervals; schedulers have links
  // to all VMs.
  const schedulers = new Set(vms[0]?.membership.schedulers.flat());
  assert.is(schedulers.size, 4);
  const others = fleet.ids
    .slice(SEEDS)
    .filter((id) => !schedulers.has(id))
    .map((id) => fleet.vms.get(id)?.linked.size ?? 0);
  assert.ok(Math.max(...others) <= 16 + 4, `${Math.max(...others)} links at one VM`);
  const sent = vms.reduce((sum, vm) => sum + vm.sentMembers, 0) / vms.length;
  // All members to each of twelve peers when its link comes up, then sixteen per second.
  assert.ok(sent <= 8_500, `${sent} members sent by a VM`);
});

test('running VMs do not expire in a fleet of 410 VMs', () => {
  const fleet = new SimulatedFleet(410);
  const counts: number[] = [];
  for (let untilMs = 13_000; untilMs <= 15_000; untilMs += 2_000) {
    fleet.advanceTo(untilMs);
    counts.push(...[...fleet.vms.values()].map(({ membership }) => membership.count));
  }
  assert.ok(Math.min(...counts) >= 400, `${Math.min(...counts)} of 410 VMs known`);
});

test('seven VMs that start together are a full mesh within a second', () => {
  const fleet = new SimulatedFleet(7);
  fleet.advanceTo(1_000);
  const links = [...fleet.vms.values()].map(({ linked }) => linked.size);
  assert.equal([...new Set(links)], [6]);
});

test('a large fleet has four VMs that follow the store; in a small fleet every VM does', () => {
  const large = new SimulatedFleet(195);
  large.advanceTo(3_000);
  const followers = [...large.vms.values()].filter(({ membership }) => membership.isStoreFollower);
  assert.is(followers.length, 4);
  const small = new SimulatedFleet(7);
  small.advanceTo(3_000);
  const [vm] = small.vms.values();
  assert.is(vm?.membership.isStoreFollower, false);
  assert.is(vm?.membership.storeFollowerCount, 7);
});

test.run();
