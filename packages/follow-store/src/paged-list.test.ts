import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PagedList, type StoreFault, type StorePage } from './index.js';

const PAGES = 3;

/** Plays faults in turn, and good pages once they are through; undefined is a good page. */
function createList(faults: (StoreFault | undefined)[], time = { nowMs: 0 }) {
  const asked: string[] = [];
  const list = new PagedList({ now: () => time.nowMs }, async (afterKey = 'start') => {
    asked.push(afterKey);
    const fault = faults.shift();
    return fault === undefined ? E.right(readPage(afterKey, asked.length)) : E.left(fault);
  });
  return { list, asked };
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
  const { list, asked } = createList([]);
  const read = await list.read();
  assert.equal(asked, ['start', '1', '2']);
  assert.equal(keysOf(read), ['1', '2', '3']);
  assert.ok(E.isRight(read) && read.right.revision === 1);
});

test('a page that failed is read again, and those before it are not', async () => {
  const { list, asked } = createList([undefined, undefined, 'turned-away']);
  assert.equal(await list.read(), E.left('turned-away'));
  const read = await list.read();
  assert.equal(asked, ['start', '1', '2', '2']);
  assert.equal(keysOf(read), ['1', '2', '3']);
  assert.ok(E.isRight(read) && read.right.revision === 1);
});

test('after a whole list, after an answer that does not hold, and after a while all is read anew', async () => {
  const whole = createList([]);
  await whole.list.read();
  await whole.list.read();
  assert.equal(whole.asked.slice(3), ['start', '1', '2']);
  const invalid = createList([undefined, 'invalid']);
  await invalid.list.read();
  await invalid.list.read();
  assert.equal(invalid.asked.slice(2), ['start', '1', '2']);
  const time = { nowMs: 0 };
  const old = createList([undefined, 'silent'], time);
  await old.list.read();
  time.nowMs = 5_000;
  await old.list.read();
  assert.equal(old.asked.slice(2), ['start', '1', '2']);
});

test('a list without an end is given up', async () => {
  const endless = new PagedList({ now: () => 0 }, async () =>
    E.right({ items: [], revision: 1, hasMore: true }),
  );
  assert.equal(await endless.read(), E.left('invalid'));
});

test.run();
