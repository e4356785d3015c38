import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LimitBook from './limit-book.js';

const target = 't';
const mark = 'm';

test('a limit holds until a later request is answered without it', () => {
  const book = new LimitBook();
  assert.equal(book.take({ target, perSecond: 2, askedAtMs: 10, mark }), {
    kind: 'changed',
    from: undefined,
  });
  assert.is(book.take({ target, perSecond: undefined, askedAtMs: 9, mark }).kind, 'outdated');
  assert.is(book.read(target), 2);
  assert.is(book.take({ target, perSecond: undefined, askedAtMs: 11, mark }).kind, 'changed');
  assert.is(book.read(target), undefined);
});

test('a slow answer neither restores a limit nor changes it back', () => {
  const book = new LimitBook();
  book.take({ target, perSecond: 2, askedAtMs: 10, mark });
  book.take({ target, perSecond: 3, askedAtMs: 12, mark });
  const outcome = book.take({ target, perSecond: 2, askedAtMs: 11, mark });
  assert.equal(outcome, {
    kind: 'outdated',
    newest: { target, perSecond: 3, askedAtMs: 12, mark },
  });
  book.take({ target, perSecond: undefined, askedAtMs: 14, mark });
  book.take({ target, perSecond: 3, askedAtMs: 13, mark });
  assert.is(book.read(target), undefined);
});

test('targets without a limit are not held', () => {
  const book = new LimitBook();
  assert.is(book.take({ target, perSecond: undefined, askedAtMs: 1, mark }).kind, 'known');
  assert.equal(book.list(), []);
});

test('an incarnation that is over takes its limit with it', () => {
  const book = new LimitBook();
  book.take({ target, perSecond: 0, askedAtMs: 1, mark });
  assert.equal([...book.limited], [[target, 0]]);
  book.forget(target);
  assert.is(book.read(target), undefined);
});

test.run();
