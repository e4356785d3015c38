import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SameStore, { type ToldMarks } from './same-store.js';

const SEEDS = ['s1', 's2', 's3'];

/** One VM with links to the seeds and to "other". */
function create(own: number[]) {
  const time = { now: 0 };
  const strangers: string[] = [];
  const sameStore = new SameStore({
    clock: { now: () => time.now },
    store: 'store:1',
    seeds: SEEDS,
    readMarks: () => own,
    onStranger: (peer) => strangers.push(peer),
  });
  [...SEEDS, 'other'].forEach((peer) => sameStore.add(peer));
  const hear = (peer: string, marks: number[], store = 'elsewhere:1'): void =>
    sameStore.hear(peer, { store, marks, isUnsure: true });
  return { sameStore, strangers, hear, time, own };
}

test('a peer that shares a mark is believed, another is not, whatever address it names', () => {
  const { sameStore, hear } = create([1, 2, 3]);
  hear('s1', [3, 4]);
  hear('s2', [7, 8], 'store:1');
  assert.ok(sameStore.isTrusted('s1'));
  assert.not.ok(sameStore.isTrusted('s2'));
  assert.not.ok(sameStore.isTrusted('s3'), 'it told nothing');
});

test('a VM that the store did not answer believes those with its address, and seeds that prove each other', () => {
  const { sameStore, hear } = create([]);
  hear('other', [7], 'store:1');
  assert.ok(sameStore.isTrusted('other'));
  hear('other', [7]);
  hear('s1', [7]);
  assert.not.ok(sameStore.isTrusted('s1'), 'the one that proves it is no seed');
  hear('s2', [7, 8]);
  assert.ok(sameStore.isTrusted('s1') && sameStore.isTrusted('s2'));
  assert.not.ok(sameStore.isTrusted('other'));
});

test('a peer that is only behind has its time; one that never shares a mark is a stranger', () => {
  const { sameStore, strangers, hear, time } = create([2]);
  hear('s1', [1]);
  hear('s2', [9]);
  sameStore.findStrangers();
  time.now = 3_900;
  hear('s1', [1, 2]);
  sameStore.findStrangers();
  time.now = 4_000;
  assert.equal(sameStore.findStrangers(), ['s2']);
  assert.equal(strangers, ['s2']);
  assert.ok(sameStore.isAvoided('s2') && !sameStore.isAvoided('s1'));
  time.now = 34_000;
  assert.not.ok(sameStore.isAvoided('s2'), 'it may follow this store by then');
});

test('marks are told until both ends are sure, and again when one of them is not any more', () => {
  const ends = { a: create([1]).sameStore, b: create([1]).sameStore };
  const tell = (from: SameStore, to: SameStore): ToldMarks | undefined => {
    const told = from.compose('s1');
    to.hear('s1', told);
    to.isTrusted('s1');
    return told;
  };
  assert.equal(tell(ends.a, ends.b)?.marks, [1]);
  assert.ok(tell(ends.b, ends.a), 'the other end is still unsure');
  tell(ends.a, ends.b);
  assert.is(tell(ends.b, ends.a), undefined);
  assert.is(tell(ends.a, ends.b), undefined);
  ends.a.forget();
  assert.ok(tell(ends.a, ends.b)?.isUnsure);
  assert.ok(tell(ends.b, ends.a), 'the other end asks');
  assert.ok(ends.a.isTrusted('s1'));
});

test.run();
