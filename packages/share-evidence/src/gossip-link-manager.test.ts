import { test } from 'uvu';
import * as assert from 'uvu/assert';
import chooseGossipPeers from './choose-gossip-peers.js';
import GossipLinkManager from './gossip-link-manager.js';

/** Links that are up as soon as they are opened. */
class InstantLinks {
  readonly ready = new Set<string>();

  open(peers: { id: string }[]): void {
    peers.forEach(({ id }) => this.ready.add(id));
  }

  listOpened(): string[] {
    return [...this.ready];
  }

  listLinked(): string[] {
    return [...this.ready];
  }

  disconnect(peer: string): void {
    this.ready.delete(peer);
  }
}

function nameVms(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.0.${100 + index}.1:70`);
}

const [SELF = '', ...OTHERS] = nameVms(89);
const SEEDS = OTHERS.slice(40, 43);

test('a fleet whose VMs learn of each other gradually does not become a full mesh', () => {
  const links = new InstantLinks();
  const manager = new GossipLinkManager(SELF, SEEDS, links);
  for (let known = 1; known <= OTHERS.length; known += 1) {
    manager.runRound(OTHERS.slice(-known));
  }
  for (let round = 0; round < 6; round += 1) {
    manager.runRound(OTHERS);
  }
  assert.ok(links.ready.size <= 6, `${links.ready.size} links`);
});

test('a small fleet is a full mesh', () => {
  const links = new InstantLinks();
  const manager = new GossipLinkManager(SELF, SEEDS, links);
  const few = OTHERS.slice(0, 6);
  for (let round = 0; round < 12; round += 1) {
    manager.runRound(few);
  }
  assert.equal([...links.ready].sort(), few);
});

test('the seeds are linked first, and again at intervals', () => {
  const links = new InstantLinks();
  const manager = new GossipLinkManager(SELF, SEEDS, links);
  manager.runRound([]);
  assert.equal([...links.ready], SEEDS);
  const isApart: boolean[] = [];
  for (let round = 0; round < 40; round += 1) {
    manager.runRound(OTHERS.slice(0, 3));
    isApart.push(!SEEDS.some((seed) => links.ready.has(seed)));
  }
  assert.ok(isApart.includes(true));
  assert.not(isApart.slice(-20).every(Boolean));
});

test('VMs that started together do not link to a seed again at the same time', () => {
  const met = new Map<number, number>();
  for (const vm of OTHERS.filter((id) => !SEEDS.includes(id))) {
    const links = new InstantLinks();
    const manager = new GossipLinkManager(vm, SEEDS, links);
    const wanted = new Set(chooseGossipPeers(vm, OTHERS));
    for (let round = 0; round < 60; round += 1) {
      const before = new Set(links.ready);
      manager.runRound(OTHERS);
      const isMet = SEEDS.some((id) => !wanted.has(id) && !before.has(id) && links.ready.has(id));
      if (round > 5 && isMet) {
        met.set(round, (met.get(round) ?? 0) + 1);
      }
    }
  }
  assert.ok(met.size > 20, `met in ${met.size} rounds`);
  assert.ok(Math.max(...met.values()) <= 15, `${Math.max(...met.values())} in one round`);
});

test.run();
