import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Fleet } from './fleet.fixture.js';

const SEEDS = 3;

test('195 VMs that start together know each other within 3 s, over few links', () => {
  const fleet = new Fleet(195);
  fleet.playUntil(3_000);
  const vms = [...fleet.vms.values()];
  assert.equal([...new Set(vms.map(({ membership }) => membership.count))], [195]);
  const opened = vms.reduce((sum, vm) => sum + vm.opened, 0) / vms.length;
  // Up to 12 for gossip, and the four schedulers of such a fleet.
  assert.ok(opened <= 12 + 4, `${opened} links opened a VM`);
  fleet.playUntil(12_000);
  // Seeds take some links more, since each VM meets one of them now and then; schedulers take all.
  const schedulers = new Set(vms[0]?.membership.schedulers.flat());
  assert.is(schedulers.size, 4);
  const others = fleet.ids
    .slice(SEEDS)
    .filter((id) => !schedulers.has(id))
    .map((id) => fleet.vms.get(id)?.linked.size ?? 0);
  assert.ok(Math.max(...others) <= 16 + 4, `${Math.max(...others)} links at one VM`);
  const named = vms.reduce((sum, vm) => sum + vm.named, 0) / vms.length;
  // 68 KB: all members to each of twelve peers as its link comes up, then sixteen a second.
  assert.ok(named <= 8_500, `${named} members named by a VM`);
});

test('a fleet of 410 VMs does not forget those that run', () => {
  const fleet = new Fleet(410);
  const counts: number[] = [];
  for (let untilMs = 13_000; untilMs <= 15_000; untilMs += 2_000) {
    fleet.playUntil(untilMs);
    counts.push(...[...fleet.vms.values()].map(({ membership }) => membership.count));
  }
  assert.ok(Math.min(...counts) >= 400, `${Math.min(...counts)} of 410 VMs known`);
});

test('seven VMs that start together are a full mesh within a second', () => {
  const fleet = new Fleet(7);
  fleet.playUntil(1_000);
  const links = [...fleet.vms.values()].map(({ linked }) => linked.size);
  assert.equal([...new Set(links)], [6]);
});

test('a large fleet has four VMs that follow the store, and a small one asks it itself', () => {
  const large = new Fleet(195);
  large.playUntil(3_000);
  const followers = [...large.vms.values()].filter(({ membership }) => membership.followsForOthers);
  assert.is(followers.length, 4);
  const small = new Fleet(7);
  small.playUntil(3_000);
  const [vm] = small.vms.values();
  assert.is(vm?.membership.followsForOthers, false);
  assert.is(vm?.membership.followerCount, 7);
});

test.run();
