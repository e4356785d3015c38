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

/** Value of a target that said that it leaves. */
const LEAVING = 'leaving';
/** Value of a target that began again. */
const REBORN = 'reborn';
/** Value of an item that does not hold. */
const UNREADABLE = 'unreadable';
/** Value of a target at an address that others use, too. */
const AT_PORT_1 = 'at port 1';

function item(key: string, revision: number, value = String(revision)): StoreItem {
  return { key, value: Buffer.from(value), revision };
}

/** Knowledge whose store holds a configuration under "c" and targets under "t1", "t2" and so on. */
function create() {
  const decoded: string[] = [];
  const versions: number[] = [];
  const joined: string[] = [];
  const lines: LogFields[] = [];
  const directory = new TargetDirectory(clock, {
    onNotice: ({ kind, target }) => kind === 'joined' && joined.push(target.id),
  });
  const knowledge = new StoreView({
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
          const id = value.toString() === REBORN ? `${key}@2` : key;
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
  return { knowledge, decoded, versions, ids, usable, joined, lines };
}

test('what did not change is not decoded again', () => {
  const { knowledge, decoded, versions, ids } = create();
  knowledge.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  decoded.length = 0;
  knowledge.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 8)], revision: 9 });
  assert.equal(decoded, ['t2']);
  assert.equal(versions, [5]);
  assert.equal(ids(), ['t1', 't2']);
});

test("a peer's update brings what is newer, and ends what is gone", () => {
  const { knowledge, versions, ids } = create();
  knowledge.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 6 });
  knowledge.applyPeerUpdate(
    { items: [item('c', 8)], gone: [], present: ['c', 't2'], revision: 9 },
    PEER,
  );
  assert.equal(versions, [5, 8]);
  assert.equal(ids(), ['t2']);
  assert.is(knowledge.revision, 9);
});

test('a peer that lacks little is told what went and came, not all that is there', () => {
  const { knowledge } = create();
  const behind = create();
  const list = { items: [item('c', 5), item('t1', 3), item('t2', 4), item('t3', 4)], revision: 6 };
  knowledge.applyList(list);
  behind.knowledge.applyList(list);
  knowledge.applyChanges({
    changes: [
      { kind: 'gone', key: 't1' },
      { kind: 'gone', key: 't2' },
      { kind: 'put', item: item('t4', 8) },
    ],
    revision: 8,
  });
  knowledge.applyChanges({ changes: [{ kind: 'put', item: item('t2', 9) }], revision: 9 });
  const update = knowledge.createUpdate(6);
  assert.equal(update.gone, ['t1']);
  assert.is(update.present, undefined);
  assert.equal(
    update.items.map(({ key }) => key),
    ['t4', 't2'],
  );
  behind.knowledge.applyPeerUpdate(update, PEER);
  assert.equal(behind.ids().sort(), ['t2', 't3', 't4']);
  assert.is(behind.knowledge.revision, 9);
  assert.equal(behind.knowledge.createUpdate(6).gone, ['t1']);
});

test('a peer that knows less than this VM ever heard of is told all that is there', () => {
  const { knowledge } = create();
  knowledge.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  assert.equal(knowledge.createUpdate(4).present, ['c', 't1']);
  assert.equal(knowledge.createUpdate(0).items.length, 2);
});

test('of two targets at one address that a peer tells the one that was written later stands there', () => {
  const { knowledge, ids } = create();
  knowledge.applyList({ items: [item('c', 5)], revision: 6 });
  const items = [item('t2', 8, AT_PORT_1), item('t1', 7, AT_PORT_1)];
  knowledge.applyPeerUpdate({ items, gone: [], revision: 8 }, PEER);
  assert.equal(ids(), ['t2']);
});

test('a peer that knows what came and went while this VM was cut off is told all that is there', () => {
  const { knowledge } = create();
  knowledge.applyList({ items: [item('c', 5)], revision: 10 });
  const behind = create();
  behind.knowledge.applyList({ items: [item('c', 5), item('t1', 12)], revision: 15 });
  knowledge.applyList({ items: [item('c', 5)], revision: 20 });
  behind.knowledge.applyPeerUpdate(knowledge.createUpdate(15), PEER);
  assert.equal(behind.ids(), []);
});

test('an update that is older than what is known changes nothing', () => {
  const { knowledge, versions, ids } = create();
  knowledge.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  knowledge.applyPeerUpdate({ items: [item('c', 4)], gone: [], present: ['c'], revision: 6 }, PEER);
  assert.equal(versions, [5]);
  assert.equal(ids(), ['t1']);
});

test('of two targets at one address the one that was written later stands there', () => {
  for (const [earlier, later] of [
    ['t1', 't2'],
    ['t2', 't1'],
  ] as const) {
    const { knowledge, ids, joined } = create();
    const items = [item(earlier, 3, AT_PORT_1), item(later, 4, AT_PORT_1)];
    items.sort((a, b) => (a.key < b.key ? -1 : 1));
    knowledge.applyList({ items, revision: 6 });
    assert.equal(ids(), [later]);
    joined.length = 0;
    knowledge.applyList({ items, revision: 7 });
    assert.equal(ids(), [later]);
    assert.equal(joined, []);
  }
});

test('a target that said that it leaves gets nothing new while the store is away either', () => {
  const { knowledge, usable } = create();
  knowledge.applyList({ items: [item('t1', 3), item('t2', 4)], revision: 6 });
  knowledge.applyChanges({
    changes: [{ kind: 'put', item: item('t1', 7, LEAVING) }],
    revision: 7,
  });
  knowledge.onStoreLost();
  assert.equal(usable(), ['t2']);
  knowledge.applyPeerUpdate(
    {
      items: [item('t1', 3)],
      gone: [],
      present: ['t1', 't2'],
      revision: 5,
    },
    PEER,
  );
  assert.equal(usable(), ['t2']);
  knowledge.applyPeerUpdate(
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

test('an item that does not hold is told, and what was known before stays in force', () => {
  const { knowledge, lines } = create();
  knowledge.applyList({ items: [item('c', 1)], revision: 1 });
  const change = { kind: 'put', item: item('c', 2, UNREADABLE) } as const;
  knowledge.applyChanges({ changes: [change], revision: 2 });
  assert.is(knowledge.routes?.version, 1);
  const told = lines.filter(({ event }) => event === 'store-item-unreadable');
  assert.equal(told, [
    { event: 'store-item-unreadable', key: 'c', revision: 2, reason: 'no version' },
  ]);
});

test('who holds the duties is known, passed on to peers, and gone with its key', () => {
  const { knowledge, decoded } = create();
  knowledge.applyList({ items: [item('c', 5), item(DUTY_KEY, 7)], revision: 8 });
  assert.ok(knowledge.has(DUTY_KEY) && !decoded.includes(DUTY_KEY));
  const peer = create().knowledge;
  peer.applyPeerUpdate(knowledge.createUpdate(0), PEER);
  assert.ok(peer.has(DUTY_KEY));
  peer.applyChanges({ changes: [{ kind: 'gone', key: DUTY_KEY }], revision: 9 });
  assert.not.ok(peer.has(DUTY_KEY));
});

test('what a peer told before the store answered goes where the store lists otherwise', () => {
  const { knowledge, versions, ids } = create();
  knowledge.applyPeerUpdate(
    { items: [item('c', 90), item('t7', 80)], gone: [], present: ['c', 't7'], revision: 95 },
    PEER,
  );
  assert.equal(knowledge.listFingerprints(), [], 'a word that is not confirmed proves nothing');
  knowledge.applyList({ items: [item('c', 5), item('t1', 3)], revision: 200 });
  assert.equal(versions, [90, 5]);
  assert.equal(ids(), ['t1']);
  assert.is(knowledge.revision, 200);
});

test('what a peer told before the store answered goes also where its revisions lie further back', () => {
  const { knowledge, versions } = create();
  const stranger = create();
  const theirs = item('c', 9, '5000');
  stranger.knowledge.applyList({ items: [theirs], revision: 10 });
  knowledge.applyPeerUpdate({ items: [theirs], gone: [], present: ['c'], revision: 10 }, PEER);
  knowledge.applyList({ items: [item('c', 150, '12')], revision: 200 });
  assert.equal(versions, [5_000, 12]);
  const marks = new Set(knowledge.listFingerprints());
  assert.not.ok(stranger.knowledge.listFingerprints().some((mark) => marks.has(mark)));
});

test('what a peer told ahead of the list stays, since the store may have moved on meanwhile', () => {
  const { knowledge, versions } = create();
  knowledge.applyList({ items: [item('c', 5)], revision: 6 });
  knowledge.applyPeerUpdate({ items: [item('c', 9)], gone: [], revision: 9 }, PEER);
  knowledge.applyList({ items: [item('c', 5)], revision: 7 });
  assert.equal(versions, [5, 9]);
});

test('knowledge of a store that began anew is dropped whole, with its marks', () => {
  const { knowledge, versions, ids, lines } = create();
  knowledge.applyList({ items: [item('c', 50), item('t1', 40)], revision: 60 });
  const [before] = knowledge.listFingerprints();
  knowledge.reset('store-behind', 7);
  assert.is(knowledge.routes, undefined);
  assert.is(knowledge.revision, 0);
  knowledge.applyList({ items: [item('c', 4), item('t2', 3)], revision: 7 });
  assert.equal(versions, [50, 4]);
  assert.equal(ids(), ['t2']);
  assert.not.ok(knowledge.listFingerprints().includes(before ?? 0));
  assert.ok(lines.some(({ event, known }) => event === 'store-knowledge-dropped' && known === 60));
});

test('VMs of one store share marks while one of them is a configuration behind', () => {
  const [ahead, behind, other] = [create(), create(), create()];
  const made = { ...item('t1', 3), made: 2 };
  behind.knowledge.applyList({ items: [item('c', 5), made], revision: 6 });
  ahead.knowledge.applyList({ items: [item('c', 8), { ...made, revision: 7 }], revision: 8 });
  other.knowledge.applyList({ items: [item('c', 6), { ...made, made: 4 }], revision: 6 });
  const marks = new Set(behind.knowledge.listFingerprints());
  assert.ok(ahead.knowledge.listFingerprints().some((mark) => marks.has(mark)));
  assert.not.ok(other.knowledge.listFingerprints().some((mark) => marks.has(mark)));
});

test('a target whose item no longer holds is left, and used again once it does', () => {
  const { knowledge, usable, ids, lines } = create();
  knowledge.applyList({ items: [item('c', 5), item('t1', 3), item('t2', 4)], revision: 6 });
  const spoilt = [item('t1', 7, UNREADABLE), item('t3', 8, UNREADABLE), item('c', 9, UNREADABLE)];
  const changes = spoilt.map((put) => ({ kind: 'put', item: put }) as const);
  knowledge.applyChanges({ changes, revision: 9 });
  assert.equal([usable(), ids()], [['t2'], ['t1', 't2']]);
  assert.is(knowledge.routes?.version, 5);
  knowledge.applyList({ items: [...spoilt, item('t2', 4)], revision: 10 });
  assert.equal([usable(), ids()], [['t2'], ['t1', 't2']]);
  const told = lines.filter(({ event }) => event === 'store-item-unreadable');
  assert.equal(
    told.map(({ key, revision }) => [key, revision]),
    [
      ['t1', 7],
      ['t3', 8],
      ['c', 9],
    ],
  );
  knowledge.applyChanges({ changes: [{ kind: 'put', item: item('t1', 11) }], revision: 11 });
  assert.equal(usable(), ['t1', 't2']);
});

test('a target that begins again under its name is another one', () => {
  const { knowledge, ids, joined } = create();
  knowledge.applyList({ items: [item('c', 5), item('t1', 3)], revision: 6 });
  knowledge.applyChanges({ changes: [{ kind: 'put', item: item('t1', 7, REBORN) }], revision: 7 });
  assert.equal([ids(), joined], [['t1@2'], ['t1', 't1@2']]);
  knowledge.applyChanges({ changes: [{ kind: 'gone', key: 't1' }], revision: 8 });
  assert.equal(ids(), []);
});

test.run();
