/** The origins of streams in the view of the store. */
import type { LogFields } from '@limelead/decision-log';
import type { StoreItem } from '@limelead/follow-store';
import { TargetDirectory } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { streamsKeyOf } from './store-keys.js';
import StoreView from './store-view.js';

const clock = { now: () => 1_000 };
const PEER = 'h:9';

const item = (key: string, revision: number, value = ''): StoreItem => ({
  ...{ key, value: Buffer.from(value), revision },
});

const DIGESTS = ['abcdefghij0', 'abcdefghij1', 'abcdefghij2'];
const segmentOf = (number: number, revision: number, ...digests: string[]): StoreItem =>
  item(streamsKeyOf('w', number), revision, JSON.stringify({ llm: { v1: digests.join('') } }));

/** A view, and the indexes of the streams that it knows. */
function create() {
  const counts = { changes: 0 };
  const lines: LogFields[] = [];
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
    directory: new TargetDirectory(clock, {}),
    dialect: {
      decode: () => ({ kind: 'duty' }),
      parseTargetId: () => undefined,
      composeRollOutState: (key) => ({ key, value: Buffer.alloc(0) }),
    },
    onConfiguration: () => undefined,
    onReset: () => undefined,
    onChange: () => (counts.changes += 1),
  });
  const listKnown = (): number[] =>
    [...DIGESTS.keys()].filter(
      (index) => view.storedOrigins.find({ service: 'llm', digest: DIGESTS[index]! }) !== undefined,
    );
  return { view, counts, lines, listKnown };
}

// Streams stayed known or unknown whatever became of their segments.
test('streams are known from the list, changes and peers until their segment is removed', () => {
  const { view, listKnown } = create();
  const behind = create();
  const list = { items: [item('c', 5), segmentOf(1, 6, DIGESTS[0]!)], revision: 6 };
  view.applyList(list);
  behind.view.applyList(list);
  assert.equal(listKnown(), [0]);
  const put = segmentOf(1, 7, DIGESTS[0]!, DIGESTS[1]!);
  view.applyChanges({ changes: [{ kind: 'put', item: put }], revision: 7 });
  view.applyChanges({
    changes: [{ kind: 'put', item: segmentOf(2, 8, DIGESTS[2]!) }],
    revision: 8,
  });
  assert.equal(listKnown(), [0, 1, 2]);
  behind.view.applyPeerUpdate(view.createUpdate(6), PEER);
  assert.equal(behind.listKnown(), [0, 1, 2]);
  view.applyChanges({ changes: [{ kind: 'gone', key: streamsKeyOf('w', 1) }], revision: 9 });
  assert.equal(listKnown(), [2]);
  behind.view.applyPeerUpdate(view.createUpdate(8), PEER);
  assert.equal(behind.listKnown(), [2]);
  view.applyList({ items: [item('c', 5)], revision: 10 });
  assert.equal(listKnown(), []);
  behind.view.reset('test', 1);
  assert.equal(behind.listKnown(), []);
});

// Another build's item took away what was known of its streams.
test('a segment that cannot be read keeps what it held before', () => {
  const { view, listKnown, lines } = create();
  view.applyList({ items: [item('c', 5), segmentOf(1, 6, DIGESTS[0]!)], revision: 6 });
  const unreadable = item(streamsKeyOf('w', 1), 7, '{"llm":3}');
  view.applyChanges({ changes: [{ kind: 'put', item: unreadable }], revision: 7 });
  assert.equal(listKnown(), [0]);
  assert.is(lines.filter(({ event }) => event === 'store-item-unreadable').length, 1);
});

// Each group of streams made every VM read roll-outs, quarantines and targets again.
test('a change of streams alone is not told as a change of the view', () => {
  const { view, counts } = create();
  view.applyList({ items: [item('c', 5)], revision: 6 });
  const { changes } = counts;
  const put = { kind: 'put', item: segmentOf(1, 7, DIGESTS[0]!) } as const;
  view.applyChanges({ changes: [put], revision: 7 });
  assert.is(counts.changes, changes);
  assert.is(view.revision, 7);
  view.applyChanges({ changes: [put, { kind: 'put', item: item('t1', 8) }], revision: 8 });
  assert.is(counts.changes, changes + 1);
});

test.run();
