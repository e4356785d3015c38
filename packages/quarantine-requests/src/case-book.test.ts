import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CaseBook, { QUARANTINE_MS, type Strike } from './case-book.js';

const SERVICE = 'llm';

function strike(number: number, startedAtMs: number, endedAtMs: number): Strike {
  const target = `t${number}`;
  return { request: 'r', service: SERVICE, caller: 'c', target, startedAtMs, endedAtMs };
}

const inSuccession = [strike(1, 0, 100), strike(2, 100, 200), strike(3, 200, 300)];

function createBook(strikes: Strike[]): CaseBook {
  const book = new CaseBook();
  strikes.forEach((one) => book.take(one, 300));
  return book;
}

test('three ends in succession prove it, two make a suspect, one says nothing', () => {
  const verdicts = [1, 2, 3].map((count) =>
    createBook(inSuccession.slice(0, count)).judge('r', 300),
  );
  assert.equal(verdicts, ['clear', 'suspected', 'quarantined']);
});

test('strikes merge like a set, in any order, however often they are told', () => {
  const [first, second, third] = inSuccession;
  for (const order of [
    [third, second, first],
    [second, third, first],
    [first, third, first, second, second],
  ]) {
    const book = createBook(order.flatMap((one) => one ?? []));
    assert.equal(book.listTargets('r'), ['t1', 't2', 't3']);
    assert.is(book.judge('r', 300), 'quarantined');
  }
});

test('a much-used request on everything that goes at once is suspected, not held', () => {
  const atOnce = Array.from({ length: 12 }, (_, index) => strike(index, index, 100 + index * 2));
  assert.is(createBook(atOnce).judge('r', 300), 'suspected');
});

test('two VMs that run it beside each other prove it no sooner than one after the other', () => {
  const pairs = [0, 100].flatMap((atMs) => [
    strike(atMs + 1, atMs, atMs + 100),
    strike(atMs + 2, atMs + 30, atMs + 130),
  ]);
  assert.is(createBook(pairs).judge('r', 300), 'suspected');
  assert.is(createBook([...pairs, strike(9, 240, 300)]).judge('r', 300), 'quarantined');
});

test('what was told late by other VMs still follows', () => {
  const late = [strike(1, 0, 100 + 20), strike(2, 100, 200 + 20), strike(3, 200, 300)];
  assert.is(createBook(late).judge('r', 300), 'quarantined');
});

test('an answer absolves, and strikes from before it are no news any more', () => {
  const book = createBook(inSuccession);
  assert.ok(book.absolve('r', 310, 310));
  assert.not(book.absolve('r', 311, 311));
  assert.is(book.judge('r', 310), 'clear');
  assert.not(book.take(strike(3, 200, 320), 320));
  assert.ok(book.take(strike(4, 320, 350), 350));
});

test('a strike whose target answers is taken back for good', () => {
  const book = createBook(inSuccession.slice(0, 2));
  assert.ok(book.withdraw('r', 't1', 300));
  assert.is(book.judge('r', 300), 'clear');
  assert.not(book.take(strike(1, 0, 100), 300));
});

test('a quarantine ends with time, and one more end brings it back', () => {
  const book = createBook(inSuccession);
  const overAtMs = 300 + QUARANTINE_MS;
  assert.is(book.quarantineLeftMs('r', 300), QUARANTINE_MS);
  assert.is(book.judge('r', overAtMs - 1), 'quarantined');
  assert.is(book.judge('r', overAtMs), 'suspected');
  book.take(strike(4, overAtMs + 10, overAtMs + 60), overAtMs + 60);
  assert.is(book.judge('r', overAtMs + 60), 'quarantined');
});

test('evidence is forgotten with time', () => {
  const book = createBook(inSuccession.slice(0, 2));
  book.take({ ...strike(1, 0, 1), request: 'other' }, QUARANTINE_MS + 300);
  assert.not(book.has('r'));
});

test('a caller whose requests all do it ends fewer targets with each', () => {
  const book = new CaseBook();
  const ends = Array.from({ length: 8 }, (_, index) => {
    const request = `r${index}`;
    let count = 0;
    while (book.judge(request, 0) !== 'quarantined') {
      const target = `${request}-${count}`;
      book.take({ ...strike(0, count, count + 1), request, target }, 0);
      count += 1;
    }
    return count;
  });
  assert.equal(ends, [3, 3, 2, 2, 2, 2, 2, 2]);
  book.take({ ...strike(0, 0, 1), request: 'of-another', caller: 'd' }, 0);
  assert.is(book.judge('of-another', 0), 'clear');
});

test('what is only suspected goes before what is proved, and is told of', () => {
  const dropped: string[] = [];
  const book = new CaseBook((request) => dropped.push(request));
  inSuccession.forEach((one) => book.take(one, 300));
  for (let index = 0; index < 2_010; index += 1) {
    book.take({ ...strike(1, 0, 100), request: `one-${index}` }, 300);
  }
  assert.is(book.judge('r', 300), 'quarantined');
  assert.is(dropped.length, 11);
  assert.is(dropped[0], 'one-0');
});

test.run();
