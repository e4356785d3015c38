import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_OPENED_LINKS } from './choose-links.js';
import { chooseLinks, chooseConfigurationWatchers, createMemberTable } from './index.js';

function nameVms(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `vm-${String(index).padStart(4, '0')}`);
}

/** Counts the hops from the first VM to the farthest one. */
function countHops(ids: string[]): number {
  const links = new Map<string, Set<string>>(ids.map((id) => [id, new Set()]));
  for (const id of ids) {
    for (const peer of chooseLinks(id, ids)) {
      links.get(id)?.add(peer);
      links.get(peer)?.add(id);
    }
  }
  let reached = new Set(ids.slice(0, 1));
  for (let hops = 0; ; hops += 1) {
    if (reached.size === ids.length) {
      return hops;
    }
    reached = new Set([...reached].flatMap((id) => [id, ...(links.get(id) ?? [])]));
  }
}

test('no VM opens more than a few links, and all VMs are reachable within a few hops', () => {
  for (const count of [1, 2, 3, 7, 15, 30, 100, 410]) {
    const ids = nameVms(count);
    assert.ok(ids.every((id) => chooseLinks(id, ids).length <= MAX_OPENED_LINKS));
    assert.ok(countHops(ids) <= 6, `${count} VMs need ${countHops(ids)} hops`);
  }
});

test('a VM never links to itself, and every VM has a link', () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 200 }), fc.nat(), (count, pick) => {
      const ids = nameVms(count);
      const self = ids[pick % count] ?? '';
      const chosen = chooseLinks(self, ids);
      assert.ok(chosen.length > 0);
      assert.not(chosen.includes(self));
    }),
    { seed: 6 },
  );
});

test('all VMs choose the same watchers, and the loss of one replaces only that one', () => {
  const ids = nameVms(50);
  const watchers = chooseConfigurationWatchers(ids);
  assert.equal(chooseConfigurationWatchers([...ids].reverse()), watchers);
  const [lost, kept] = watchers;
  const next = chooseConfigurationWatchers(ids.filter((id) => id !== lost));
  assert.ok(kept !== undefined && next.includes(kept));
  assert.is(next.length, watchers.length);
});

test('a silent peer becomes suspect, and alive again with its next heartbeat', () => {
  const table = createMemberTable('vm-1');
  const heartbeat = {
    id: 'vm-2',
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'osan',
    incarnation: 'vm-2.a',
    revision: 3,
    leaving: false,
  };
  table.applyHeartbeat(heartbeat, 0);
  const state = (now: number) => {
    const member = table.find('vm-2');
    return member === undefined ? 'unknown' : table.stateOf(member, now);
  };
  assert.is(state(3_000), 'alive');
  assert.is(state(4_000), 'suspect');
  assert.is(table.present(4_000).length, 0);
  table.applyHeartbeat(heartbeat, 4_100);
  assert.is(state(4_200), 'alive');
  assert.is(table.findByIncarnation('vm-2.a')?.id, 'vm-2');
  table.onLinkLost('vm-2');
  assert.is(state(4_300), 'suspect');
});

test.run();
