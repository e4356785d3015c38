import { test } from 'uvu';
import * as assert from 'uvu/assert';
import LimitTable from './limit-table.js';

const target = 't';
const mark = 'm';

test('a limit holds until the response to a later request names none', () => {
  const table = new LimitTable();
  assert.equal(table.apply({ target, perSecond: 2, askedAtMs: 10, mark }), {
    kind: 'changed',
    from: undefined,
  });
  assert.is(table.apply({ target, perSecond: undefined, askedAtMs: 9, mark }).kind, 'outdated');
  assert.is(table.getRate(target), 2);
  assert.is(table.apply({ target, perSecond: undefined, askedAtMs: 11, mark }).kind, 'changed');
  assert.is(table.getRate(target), undefined);
});

test('a late response neither restores a limit nor changes it back', () => {
  const table = new LimitTable();
  table.apply({ target, perSecond: 2, askedAtMs: 10, mark });
  table.apply({ target, perSecond: 3, askedAtMs: 12, mark });
  const outcome = table.apply({ target, perSecond: 2, askedAtMs: 11, mark });
  assert.equal(outcome, {
    kind: 'outdated',
    newest: { target, perSecond: 3, askedAtMs: 12, mark },
  });
  table.apply({ target, perSecond: undefined, askedAtMs: 14, mark });
  table.apply({ target, perSecond: 3, askedAtMs: 13, mark });
  assert.is(table.getRate(target), undefined);
});

test('targets without a limit are not stored', () => {
  const table = new LimitTable();
  assert.is(table.apply({ target, perSecond: undefined, askedAtMs: 1, mark }).kind, 'known');
  assert.equal(table.list(), []);
});

test('the limit of an incarnation that ended is forgotten', () => {
  const table = new LimitTable();
  table.apply({ target, perSecond: 0, askedAtMs: 1, mark });
  assert.equal([...table.limitedTargets], [[target, 0]]);
  table.forget(target);
  assert.is(table.getRate(target), undefined);
});

test.run();
