import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PagedList, type StoreFault, type StorePage } from './index.js';

const PAGES = 3;

/** Creates a list whose page reads fail with the given faults in turn and then succeed; undefined succeeds. */
function createPagedList(faults: (StoreFault | undefined)[], time = { nowMs: 0 }) {
  const requestedKeys: string[] = [];
  const list = new PagedList({ now: () => time.nowMs }, async (afterKey = 'start') => {
    requestedKeys.push(afterKey);
    const fault = faults.shift();
    return fault === undefined ? E.right(readPage(afterKey, requestedKeys.length)) : E.left(fault);
  });
  return { list, requestedKeys };
}

function readPage(afterKey: string, revision: number): StorePage {
  const number = afterKey === 'start' ? 1 : Number(afterKey) + 1;
  const item = { key: String(number), value: Buffer.alloc(0), revision: 1 };
  return { items: [item], revision, hasMore: number < PAGES };
}

function keysOf(list: E.Either<StoreFault, { items: { key: string }[] }>): string[] {
  return E.isRight(list) ? list.right.items.map(({ key }) => key) : [];
}

test('a list has the items of all pages and the revision of the first', async () => {
  const { list, requestedKeys } = createPagedList([]);
  const read = await list.read();
  assert.equal(requestedKeys, ['start', '1', '2']);
  assert.equal(keysOf(read), ['1', '2', '3']);
  assert.ok(E.isRight(read) && read.right.revision === 1);
});

test('after a failed page only that page and the following ones are read', async () => {
  const { list, requestedKeys } = createPagedList([undefined, undefined, 'turned-away']);
  assert.equal(await list.read(), E.left('turned-away'));
  const read = await list.read();
  assert.equal(requestedKeys, ['start', '1', '2', '2']);
  assert.equal(keysOf(read), ['1', '2', '3']);
  assert.ok(E.isRight(read) && read.right.revision === 1);
});

test('all pages are read again after a complete list, an invalid answer, or a long time', async () => {
  const whole = createPagedList([]);
  await whole.list.read();
  await whole.list.read();
  assert.equal(whole.requestedKeys.slice(3), ['start', '1', '2']);
  const invalid = createPagedList([undefined, 'invalid']);
  await invalid.list.read();
  await invalid.list.read();
  assert.equal(invalid.requestedKeys.slice(2), ['start', '1', '2']);
  const time = { nowMs: 0 };
  const old = createPagedList([undefined, 'silent'], time);
  await old.list.read();
  time.nowMs = 5_000;
  await old.list.read();
  assert.equal(old.requestedKeys.slice(2), ['start', '1', '2']);
});

test('an endless list is invalid', async () => {
  const endless = new PagedList({ now: () => 0 }, async () =>
    E.right({ items: [], revision: 1, hasMore: true }),
  );
  assert.equal(await endless.read(), E.left('invalid'));
});

test.run();
