import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { WindowCounts } from './types.js';
import UsageTable from './usage-table.js';
import UsageCounter from './usage-counter.js';
import UsagePublisher from './usage-publisher.js';

const WINDOW_MS = 5_000;

/** Creates a table whose time the test controls. */
function createTable(atMs: () => number): UsageTable {
  return new UsageTable({ trueTime: { now: atMs }, windowMs: WINDOW_MS });
}

/** Creates a VM that counts and publishes. */
function createVm(): {
  count(atMs: number, organisation: string): void;
  publish(link: string): WindowCounts[];
} {
  let now = 0;
  const counter = new UsageCounter({
    trueTime: { now: () => now },
    windowMs: WINDOW_MS,
    onCounted: (window, organisation) => publisher.recordChange(window, organisation),
  });
  const publisher = new UsagePublisher(counter);
  return {
    count(atMs, organisation) {
      now = atMs;
      counter.count(organisation);
    },
    publish(link) {
      const sent: WindowCounts[] = [];
      publisher.publish([{ link, send: (windows) => sent.push(...windows) }]);
      return sent;
    },
  };
}

test('a subscriber receives all counts first, then changes; a new link is a new subscriber', () => {
  const vm = createVm();
  vm.count(0, 'a');
  vm.count(WINDOW_MS, 'a');
  assert.equal(vm.publish('x'), [
    { window: 0, counts: [['a', 1]] },
    { window: 1, counts: [['a', 1]] },
  ]);
  assert.equal(vm.publish('x'), []);
  vm.count(WINDOW_MS + 1, 'a');
  assert.equal(vm.publish('x'), [{ window: 1, counts: [['a', 2]] }]);
  assert.is(vm.publish('y').length, 2);
});

test('unsettled windows are sent first over a new link', () => {
  const vm = createVm();
  for (let window = 0; window < 6; window += 1) {
    for (let organisation = 0; organisation < 400; organisation += 1) {
      vm.count(window * WINDOW_MS, `org-${organisation}`);
    }
  }
  const order = [1, 2, 3].map(() => vm.publish('x').map(({ window }) => window));
  assert.equal(order, [[4, 5, 3], [2, 3, 1], [0]]);
});

test('the counts of 40,000 organisations are split into messages', () => {
  const vm = createVm();
  vm.publish('x');
  for (let organisation = 0; organisation < 40_000; organisation += 1) {
    vm.count(0, `org-${organisation}`);
  }
  const table = createTable(() => 0);
  for (let message = 0; message < 40; message += 1) {
    const sent = vm.publish('x');
    assert.ok((sent[0]?.counts.length ?? 0) <= 1_000);
    table.recordCounts('1', sent, 0);
  }
  assert.is(table.sum(0).size, 40_000);
});

test('totals are right after lost, repeated and reordered reports, restarts and the loss of a VM', () => {
  const table = createTable(() => 7 * WINDOW_MS);
  const createCounts = (requests: number): WindowCounts[] => [
    { window: 7, counts: [['a', requests]] },
  ];
  table.recordCounts('vm 1, first start', createCounts(3), 7);
  table.recordCounts('vm 1, first start', createCounts(2), 7);
  table.recordCounts('vm 1, first start', createCounts(3), 7);
  table.recordCounts('vm 1, second start', createCounts(1), 7);
  table.recordCounts('vm 2', createCounts(4), 7);
  assert.equal([...table.sum(7)], [['a', 8]]);
  assert.is(table.countReportingVms(7), 3);
  assert.is(table.countedFrom, 7);
});

test('a VM with a wrong clock evicts at most one window', () => {
  const table = createTable(() => 7 * WINDOW_MS);
  for (let window = 0; window < 8; window += 1) {
    table.recordCounts('vm 1', [{ window, counts: [['a', 1]] }], 0);
  }
  table.recordCounts('vm 2', [{ window: 9_999, counts: [['a', 1]] }], 0);
  assert.is(table.sum(7).get('a'), 1);
});

test('old windows of a VM with little traffic evict no unsettled window', () => {
  let now = 0;
  const table = createTable(() => now);
  const sparse: WindowCounts[] = [];
  for (let window = 0; window < 100; window += 1) {
    now = window * WINDOW_MS;
    table.recordCounts('busy', [{ window, counts: [['a', 1]] }], 0);
    if (window % 8 === 2) {
      sparse.push({ window, counts: [['b', 1]] });
    }
    table.recordCounts('sparse', sparse, 0);
    assert.is(table.sum(window - 1).get('a'), window === 0 ? undefined : 1, `window ${window - 1}`);
  }
  assert.is(table.sum(88).get('a'), 1);
  assert.is(table.sum(82).size, 0);
});

test('a VM with little traffic sends no old windows over a new link', () => {
  const vm = createVm();
  for (let window = 10; window <= 90; window += 8) {
    vm.count(window * WINDOW_MS, 'a');
  }
  assert.equal(
    vm.publish('x').map(({ window }) => window),
    [82, 90],
  );
});

test('a window added by a wrong clock is evicted before an unsettled one', () => {
  let now = 9_999 * WINDOW_MS;
  const table = createTable(() => now);
  table.recordCounts('vm 1', [{ window: 9_999, counts: [['a', 1]] }], 0);
  for (let window = 0; window < 14; window += 1) {
    now = window * WINDOW_MS;
    table.recordCounts('vm 1', [{ window, counts: [['a', 1]] }], 0);
  }
  assert.is(table.sum(2).get('a'), 1);
  assert.is(table.sum(9_999).size, 0);
});

test('a VM that started with a slow clock corrects its first counted window', () => {
  const table = createTable(() => 20 * WINDOW_MS);
  table.recordCounts('vm 1', [{ window: 19, counts: [['a', 1]] }], 20);
  table.recordCounts('vm 1', [{ window: 20, counts: [['a', 1]] }], 21);
  assert.is(table.countedFrom, 21);
});

test('the first counted window of a VM is removed with its last window', () => {
  let now = 0;
  const table = createTable(() => now);
  table.recordCounts('vm 1', [{ window: 0, counts: [['a', 1]] }], 0);
  for (let window = 1; window < 20; window += 1) {
    now = window * WINDOW_MS;
    table.recordCounts('vm 2', [{ window, counts: [['a', 1]] }], 1);
  }
  assert.is(table.countedFrom, 1);
});

test.run();
