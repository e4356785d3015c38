import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { WindowCounts } from './types.js';
import UsageTable from './usage-table.js';
import UsageCounter from './usage-counter.js';
import UsagePublisher from './usage-publisher.js';

const WINDOW_MS = 5_000;

/** A book at a moment. */
function createBook(atMs: () => number): UsageTable {
  return new UsageTable({ trueTime: { now: atMs }, windowMs: WINDOW_MS });
}

/** A VM that counts, and what it told. */
function createVm(): {
  count(atMs: number, organisation: string): void;
  tell(link: string): WindowCounts[];
} {
  let now = 0;
  const counter = new UsageCounter({
    trueTime: { now: () => now },
    windowMs: WINDOW_MS,
    onCounted: (window, organisation) => teller.recordChange(window, organisation),
  });
  const teller = new UsagePublisher(counter);
  return {
    count(atMs, organisation) {
      now = atMs;
      counter.count(organisation);
    },
    tell(link) {
      const told: WindowCounts[] = [];
      teller.publish([{ link, tell: (windows) => told.push(...windows) }]);
      return told;
    },
  };
}

test('a listener is told all at first, then what changed; another link is another listener', () => {
  const vm = createVm();
  vm.count(0, 'a');
  vm.count(WINDOW_MS, 'a');
  assert.equal(vm.tell('x'), [
    { window: 0, counts: [['a', 1]] },
    { window: 1, counts: [['a', 1]] },
  ]);
  assert.equal(vm.tell('x'), []);
  vm.count(WINDOW_MS + 1, 'a');
  assert.equal(vm.tell('x'), [{ window: 1, counts: [['a', 2]] }]);
  assert.is(vm.tell('y').length, 2);
});

test('over a new link the windows that are yet to be settled come first', () => {
  const vm = createVm();
  for (let window = 0; window < 6; window += 1) {
    for (let organisation = 0; organisation < 400; organisation += 1) {
      vm.count(window * WINDOW_MS, `org-${organisation}`);
    }
  }
  const order = [1, 2, 3].map(() => vm.tell('x').map(({ window }) => window));
  assert.equal(order, [[4, 5, 3], [2, 3, 1], [0]]);
});

test('40,000 organisations are told piece by piece', () => {
  const vm = createVm();
  vm.tell('x');
  for (let organisation = 0; organisation < 40_000; organisation += 1) {
    vm.count(0, `org-${organisation}`);
  }
  const book = createBook(() => 0);
  for (let message = 0; message < 40; message += 1) {
    const told = vm.tell('x');
    assert.ok((told[0]?.counts.length ?? 0) <= 1_000);
    book.recordCounts('1', told, 0);
  }
  assert.is(book.sum(0).size, 40_000);
});

test('sums outlast lost, repeated and reordered words, a restart and the loss of a VM', () => {
  const book = createBook(() => 7 * WINDOW_MS);
  const word = (requests: number): WindowCounts[] => [{ window: 7, counts: [['a', requests]] }];
  book.recordCounts('vm 1, first start', word(3), 7);
  book.recordCounts('vm 1, first start', word(2), 7);
  book.recordCounts('vm 1, first start', word(3), 7);
  book.recordCounts('vm 1, second start', word(1), 7);
  book.recordCounts('vm 2', word(4), 7);
  assert.equal([...book.sum(7)], [['a', 8]]);
  assert.is(book.countReportingVms(7), 3);
  assert.is(book.countedFrom, 7);
});

test('a VM whose clock was wrong pushes out no more than a window', () => {
  const book = createBook(() => 7 * WINDOW_MS);
  for (let window = 0; window < 8; window += 1) {
    book.recordCounts('vm 1', [{ window, counts: [['a', 1]] }], 0);
  }
  book.recordCounts('vm 2', [{ window: 9_999, counts: [['a', 1]] }], 0);
  assert.is(book.sum(7).get('a'), 1);
});

test('windows that a VM with rare traffic kept push out none that is yet to be settled', () => {
  let now = 0;
  const book = createBook(() => now);
  const sparse: WindowCounts[] = [];
  for (let window = 0; window < 100; window += 1) {
    now = window * WINDOW_MS;
    book.recordCounts('busy', [{ window, counts: [['a', 1]] }], 0);
    if (window % 8 === 2) {
      sparse.push({ window, counts: [['b', 1]] });
    }
    book.recordCounts('sparse', sparse, 0);
    assert.is(book.sum(window - 1).get('a'), window === 0 ? undefined : 1, `window ${window - 1}`);
  }
  assert.is(book.sum(88).get('a'), 1);
  assert.is(book.sum(82).size, 0);
});

test('a VM with rare traffic tells a new link nothing of long ago', () => {
  const vm = createVm();
  for (let window = 10; window <= 90; window += 8) {
    vm.count(window * WINDOW_MS, 'a');
  }
  assert.equal(
    vm.tell('x').map(({ window }) => window),
    [82, 90],
  );
});

test('a window that was opened by a wrong clock goes before one that is yet to be settled', () => {
  let now = 9_999 * WINDOW_MS;
  const book = createBook(() => now);
  book.recordCounts('vm 1', [{ window: 9_999, counts: [['a', 1]] }], 0);
  for (let window = 0; window < 14; window += 1) {
    now = window * WINDOW_MS;
    book.recordCounts('vm 1', [{ window, counts: [['a', 1]] }], 0);
  }
  assert.is(book.sum(2).get('a'), 1);
  assert.is(book.sum(9_999).size, 0);
});

test('a VM that began with a clock that is behind is believed once it is right', () => {
  const book = createBook(() => 20 * WINDOW_MS);
  book.recordCounts('vm 1', [{ window: 19, counts: [['a', 1]] }], 20);
  book.recordCounts('vm 1', [{ window: 20, counts: [['a', 1]] }], 21);
  assert.is(book.countedFrom, 21);
});

test('what a VM counted from its beginning is forgotten with its last window', () => {
  let now = 0;
  const book = createBook(() => now);
  book.recordCounts('vm 1', [{ window: 0, counts: [['a', 1]] }], 0);
  for (let window = 1; window < 20; window += 1) {
    now = window * WINDOW_MS;
    book.recordCounts('vm 2', [{ window, counts: [['a', 1]] }], 1);
  }
  assert.is(book.countedFrom, 1);
});

test.run();
