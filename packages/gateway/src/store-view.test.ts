import type { LogFields } from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import StoreView from './store-view.js';
import { DUTY_KEY } from './store-keys.js';

const clock = { now: () => 1_000 };
const PEER = 'h:9';

function toTarget(id: string): ServiceTarget {
  const port = Number(id.replace(/\D/g, '')) + 1;
  return { id, service: 's', host: 'h', port, failureDomain: 'd', slots: 1, leaving: false };
}

/** Value of a leaving target. */
const LEAVING = 'leaving';
/** Value of a target that restarted. */
const RESTARTED = 'restarted';
/** Value of an item that can't be decoded. */
const UNREADABLE = 'unreadable';
/** Value of a target at an address that other targets use, too. */
const AT_PORT_1 = 'at port 1';

function item(key: string, revision: number, value = String(revision)): StoreItem {
  return { key, value: Buffer.from(value), revision };
}

/** Creates a view of a store with a configuration under "c" and targets under "t1", "t2" and so on. */
function create() {
  const decoded: string[] = [];
  const versions: number[] = [];
  const joined: string[] = [];
  const lines: LogFields[] = [];
  const directory = new TargetDirectory(clock, {
    onNotice: ({ kind, target }) => kind === 'joined' && joined.push(target.id),
  });
  const view = new StoreView({
    clock,
    timers: { after: () => () => undefined },
    log: {
      write: (event, fields) => lines.push({ event, ...fields }),
      flush: () => Promise.resolve(),
      dropped: 0,
    },
    leavingTargetMs: 2_000,
    readAgeMs: () => 0,
    directory,
    dialect: {
      decode({ key, value }) {
        decoded.push(key);
        if (value.toString() === UNREADABLE) {
          return { kind: 'unreadable', reason: 'no version' };
        }
        if (key !== 'c') {
          const leaving = value.toString() === LEAVING;
          const id = value.toString() === RESTARTED ? `${key}@2` : key;
          const port = value.toString() === AT_PORT_1 ? 1 : toTarget(key).port;
          return { kind: 'target', target: { ...toTarget(key), id, leaving, port } };
        }
        const limits = {
          maxHeaderBytes: 1,
          maxBodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        };
        const version = Number(value.toString());
        return {
          kind: 'configuration',
          configuration: { version, routes: [], services: [], limits },
        };
      },
      parseTargetId: (key) => (key === 'c' ? undefined : key),
      composeRollOutState: (key) => ({ key, value: Buffer.alloc(0) }),
    },
    onConfiguration: ({ version }) => versions.push(version),
    onReset: () => undefined,
    onChange: () => undefined,
  });
  const ids = (): string[] => directory.all().map(({ target }) => target.id);
  const usable = (): string[] => directory.listUsable('s').map(({ target }) => target.id);
  return { view, decoded, versions, ids, usable, joined, lines };
}

test('unchanged items are not decoded again', () => {
  const { view, decoded, versions, ids } = create();
  view.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  decoded.length = 0;
  view.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 8)], revision: 9 });
  assert.equal(decoded, ['t2']);
  assert.equal(versions, [5]);
  assert.equal(ids(), ['t1', 't2']);
});

test("a peer's update applies newer items and removes missing ones", () => {
  const { view, versions, ids } = create();
  view.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 6 });
  view.applyPeerUpdate(
    { items: [item('c', 8)], gone: [], present: ['c', 't2'], revision: 9 },
    PEER,
  );
  assert.equal(versions, [5, 8]);
  assert.equal(ids(), ['t2']);
  assert.is(view.revision, 9);
});

test('a peer that lacks recent changes receives just these, not the keys of all items', () => {
  const { view } = create();
  const behind = create();
  const list = { items: [item('c', 5), item('t1', 3), item('t2', 4), item('t3', 4)], revision: 6 };
  view.applyList(list);
  behind.view.applyList(list);
  view.applyChanges({
    changes: [
      { kind: 'gone', key: 't1' },
      { kind: 'gone', key: 't2' },
      { kind: 'put', item: item('t4', 8) },
    ],
    revision: 8,
  });
  view.applyChanges({ changes: [{ kind: 'put', item: item('t2', 9) }], revision: 9 });
  const update = view.createUpdate(6);
  assert.equal(update.gone, ['t1']);
  assert.is(update.present, undefined);
  assert.equal(
    update.items.map(({ key }) => key),
    ['t4', 't2'],
  );
  behind.view.applyPeerUpdate(update, PEER);
  assert.equal(behind.ids().sort(), ['t2', 't3', 't4']);
  assert.is(behind.view.revision, 9);
  assert.equal(behind.view.createUpdate(6).gone, ['t1']);
});

test('a peer whose revision precedes the first list receives the keys of all items', () => {
  const { view } = create();
  view.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  assert.equal(view.createUpdate(4).present, ['c', 't1']);
  assert.equal(view.createUpdate(0).items.length, 2);
});

test("of two targets at one address in a peer's update the one written last is kept", () => {
  const { view, ids } = create();
  view.applyList({ items: [item('c', 5)], revision: 6 });
  const items = [item('t2', 8, AT_PORT_1), item('t1', 7, AT_PORT_1)];
  view.applyPeerUpdate({ items, gone: [], revision: 8 }, PEER);
  assert.equal(ids(), ['t2']);
});

test('a peer that knows an item added and removed while this VM was isolated receives the keys of all items', () => {
  const { view } = create();
  view.applyList({ items: [item('c', 5)], revision: 10 });
  const behind = create();
  behind.view.applyList({ items: [item('c', 5), item('t1', 12)], revision: 15 });
  view.applyList({ items: [item('c', 5)], revision: 20 });
  behind.view.applyPeerUpdate(view.createUpdate(15), PEER);
  assert.equal(behind.ids(), []);
});

test('an update older than the view changes nothing', () => {
  const { view, versions, ids } = create();
  view.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  view.applyPeerUpdate({ items: [item('c', 4)], gone: [], present: ['c'], revision: 6 }, PEER);
  assert.equal(versions, [5]);
  assert.equal(ids(), ['t1']);
});

test('of two targets at one address the one written last is kept', () => {
  for (const [earlier, later] of [
    ['t1', 't2'],
    ['t2', 't1'],
  ] as const) {
    const { view, ids, joined } = create();
    const items = [item(earlier, 3, AT_PORT_1), item(later, 4, AT_PORT_1)];
    items.sort((a, b) => (a.key < b.key ? -1 : 1));
    view.applyList({ items, revision: 6 });
    assert.equal(ids(), [later]);
    joined.length = 0;
    view.applyList({ items, revision: 7 });
    assert.equal(ids(), [later]);
    assert.equal(joined, []);
  }
});

test('a leaving target stays unusable during an outage of the store', () => {
  const { view, usable } = create();
  view.applyList({ items: [item('t1', 3), item('t2', 4)], revision: 6 });
  view.applyChanges({
    changes: [{ kind: 'put', item: item('t1', 7, LEAVING) }],
    revision: 7,
  });
  view.onStoreLost();
  assert.equal(usable(), ['t2']);
  view.applyPeerUpdate(
    {
      items: [item('t1', 3)],
      gone: [],
      present: ['t1', 't2'],
      revision: 5,
    },
    PEER,
  );
  assert.equal(usable(), ['t2']);
  view.applyPeerUpdate(
    {
      items: [item('t1', 3)],
      gone: [],
      present: ['t1', 't2'],
      revision: 8,
    },
    PEER,
  );
  assert.equal(usable(), ['t2']);
});

test('an unreadable item is logged, and its last valid content stays in force', () => {
  const { view, lines } = create();
  view.applyList({ items: [item('c', 1)], revision: 1 });
  const change = { kind: 'put', item: item('c', 2, UNREADABLE) } as const;
  view.applyChanges({ changes: [change], revision: 2 });
  assert.is(view.routes?.version, 1);
  const logged = lines.filter(({ event }) => event === 'store-item-unreadable');
  assert.equal(logged, [
    { event: 'store-item-unreadable', key: 'c', revision: 2, reason: 'no version' },
  ]);
});

test('the duty item is kept, sent to peers, and removed with its key', () => {
  const { view, decoded } = create();
  view.applyList({ items: [item('c', 5), item(DUTY_KEY, 7)], revision: 8 });
  assert.ok(view.has(DUTY_KEY) && !decoded.includes(DUTY_KEY));
  const peer = create().view;
  peer.applyPeerUpdate(view.createUpdate(0), PEER);
  assert.ok(peer.has(DUTY_KEY));
  peer.applyChanges({ changes: [{ kind: 'gone', key: DUTY_KEY }], revision: 9 });
  assert.not.ok(peer.has(DUTY_KEY));
});

test("items from peers are dropped if the store's first list contradicts them", () => {
  const { view, versions, ids } = create();
  view.applyPeerUpdate(
    { items: [item('c', 90), item('t7', 80)], gone: [], present: ['c', 't7'], revision: 95 },
    PEER,
  );
  assert.equal(view.listFingerprints(), [], 'unconfirmed items identify no store');
  view.applyList({ items: [item('c', 5), item('t1', 3)], revision: 200 });
  assert.equal(versions, [90, 5]);
  assert.equal(ids(), ['t1']);
  assert.is(view.revision, 200);
});

test("items from peers are dropped even if their revisions are lower than the store's", () => {
  const { view, versions } = create();
  const otherStore = create();
  const theirs = item('c', 9, '5000');
  otherStore.view.applyList({ items: [theirs], revision: 10 });
  view.applyPeerUpdate({ items: [theirs], gone: [], present: ['c'], revision: 10 }, PEER);
  view.applyList({ items: [item('c', 150, '12')], revision: 200 });
  assert.equal(versions, [5_000, 12]);
  const fingerprints = new Set(view.listFingerprints());
  assert.not.ok(
    otherStore.view.listFingerprints().some((fingerprint) => fingerprints.has(fingerprint)),
  );
});

test('a peer update newer than a later list is kept: the store may have changed meanwhile', () => {
  const { view, versions } = create();
  view.applyList({ items: [item('c', 5)], revision: 6 });
  view.applyPeerUpdate({ items: [item('c', 9)], gone: [], revision: 9 }, PEER);
  view.applyList({ items: [item('c', 5)], revision: 7 });
  assert.equal(versions, [5, 9]);
});

test('the view of a store that was reset is dropped with its fingerprints', () => {
  const { view, versions, ids, lines } = create();
  view.applyList({ items: [item('c', 50), item('t1', 40)], revision: 60 });
  const [before] = view.listFingerprints();
  view.reset('store-behind', 7);
  assert.is(view.routes, undefined);
  assert.is(view.revision, 0);
  view.applyList({ items: [item('c', 4), item('t2', 3)], revision: 7 });
  assert.equal(versions, [50, 4]);
  assert.equal(ids(), ['t2']);
  assert.not.ok(view.listFingerprints().includes(before ?? 0));
  assert.ok(lines.some(({ event, known }) => event === 'store-knowledge-dropped' && known === 60));
});

test('VMs of one store share fingerprints even if one of them lacks a configuration', () => {
  const [ahead, behind, other] = [create(), create(), create()];
  const made = { ...item('t1', 3), made: 2 };
  behind.view.applyList({ items: [item('c', 5), made], revision: 6 });
  ahead.view.applyList({ items: [item('c', 8), { ...made, revision: 7 }], revision: 8 });
  other.view.applyList({ items: [item('c', 6), { ...made, made: 4 }], revision: 6 });
  const fingerprints = new Set(behind.view.listFingerprints());
  assert.ok(ahead.view.listFingerprints().some((fingerprint) => fingerprints.has(fingerprint)));
  assert.not.ok(other.view.listFingerprints().some((fingerprint) => fingerprints.has(fingerprint)));
});

test('a target with an unreadable item gets no requests until the item is valid again', () => {
  const { view, usable, ids, lines } = create();
  view.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 6 });
  const unreadable = [
    item('t1', 7, UNREADABLE),
    item('t3', 8, UNREADABLE),
    item('c', 9, UNREADABLE),
  ];
  const changes = unreadable.map((put) => ({ kind: 'put', item: put }) as const);
  view.applyChanges({ changes, revision: 9 });
  assert.equal([usable(), ids()], [['t2'], ['t1', 't2']]);
  assert.is(view.routes?.version, 5);
  view.applyList({ items: [...unreadable, item('t2', 4)], revision: 10 });
  assert.equal([usable(), ids()], [['t2'], ['t1', 't2']]);
  const logged = lines.filter(({ event }) => event === 'store-item-unreadable');
  assert.equal(
    logged.map(({ key, revision }) => [key, revision]),
    [
      ['t1', 7],
      ['t3', 8],
      ['c', 9],
    ],
  );
  view.applyChanges({ changes: [{ kind: 'put', item: item('t1', 11) }], revision: 11 });
  assert.equal(usable(), ['t1', 't2']);
});

test('a target that restarts under its key replaces the old one', () => {
  const { view, ids, joined } = create();
  view.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  view.applyChanges({ changes: [{ kind: 'put', item: item('t1', 7, RESTARTED) }], revision: 7 });
  assert.equal([ids(), joined], [['t1@2'], ['t1', 't1@2']]);
  view.applyChanges({ changes: [{ kind: 'gone', key: 't1' }], revision: 8 });
  assert.equal(ids(), []);
});

/** A view to which peers have told more than the store's answer under way contains. */
function createAhead(hasList: boolean): ReturnType<typeof create> {
  const bed = create();
  const items = [item('c', 5), item('t1', 3), item('t2', 4)];
  if (hasList) {
    bed.view.applyList({ items, revision: 6 });
  } else {
    bed.view.applyPeerUpdate({ items, gone: [], present: ['c', 't1', 't2'], revision: 6 }, PEER);
  }
  bed.view.applyPeerUpdate({ items: [item('t3', 9)], gone: ['t1'], revision: 9 }, PEER);
  return bed;
}

for (const hasList of [true, false]) {
  const which = hasList ? 'a list' : 'the first list';
  test(`${which} that is older than the view returns gone targets and drops new ones`, () => {
    const { view, ids, joined } = createAhead(hasList);
    view.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 7 });
    assert.equal(ids().sort(), ['t2', 't3']);
    assert.equal(joined.sort(), ['t1', 't2', 't3']);
    assert.is(view.revision, 9);
    assert.ok(view.listFingerprints().length > 0);
  });
}

test('a peer is not told of removals that an older list does not show', () => {
  const { view } = createAhead(true);
  view.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 7 });
  const update = view.createUpdate(7);
  assert.equal(update.gone, ['t1']);
  assert.equal(
    update.items.map(({ key }) => key),
    ['t3'],
  );
});

test('later pages of an older list are ignored with its first', () => {
  const { view, ids } = createAhead(true);
  const items = [item('c', 5), item('t1', 3), item('t2', 4), item('t4', 11)];
  view.applyList({ items, revision: 7, lastRevision: 11 });
  assert.equal(ids().sort(), ['t2', 't3', 't4']);
  assert.is(view.revision, 9);
});

test('changes that are older than the view return gone targets and drop new ones', () => {
  const { view, ids, joined } = createAhead(true);
  view.applyChanges({
    changes: [
      { kind: 'put', item: item('t1', 7) },
      { kind: 'gone', key: 't3' },
    ],
    revision: 8,
  });
  assert.equal(ids().sort(), ['t2', 't3']);
  assert.equal(joined, ['t1', 't2', 't3']);
});

test('a first list of another store is ignored because what peers told is newer', () => {
  const { view, ids, versions } = createAhead(false);
  view.applyList({ items: [item('t7', 2)], revision: 7 });
  assert.equal(ids(), ['t7']);
  assert.equal(versions, [5]);
});

test.run();
