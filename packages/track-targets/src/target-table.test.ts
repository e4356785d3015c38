import type { ListedVm, LoadReport } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CLOSED_BREAKER, createTargetTable, noteFailure, noteTrial, readBreaker } from './index.js';

const VERSION = { model: 'm', adapter: '', version: '1' };

function engine(id: string, leaving = false): ListedVm {
  return {
    id,
    role: 'engine',
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'osan',
    leaving,
    services: [],
  };
}

function report(takenAtMs: number, running = 0): LoadReport {
  return {
    takenAtMs,
    running,
    waiting: 0,
    slots: 8,
    tokenGapMs: 30,
    prefillTokensPerSecond: 1_000,
    loaded: [VERSION],
    fence: 0,
  };
}

function createTable() {
  const table = createTargetTable({ maxListAgeMs: 1_000 });
  table.applyList({ version: 2, vms: [engine('e1'), engine('e2')] }, 0);
  table.applyReport('e1', report(0), 0);
  return table;
}

test('a target takes work only while the list that named it is fresh', () => {
  const table = createTable();
  assert.is(table.usableEngines(1_000, VERSION).length, 1);
  assert.is(table.usableEngines(1_001, VERSION).length, 0);
  table.applyList({ version: 2, vms: [] }, 500);
  assert.is(table.usableEngines(1_400, VERSION).length, 1, 'the same list, read later, is fresher');
});

test('a leaving target takes none at once, and an older list does not bring it back', () => {
  const table = createTable();
  table.applyList({ version: 3, vms: [engine('e1', true), engine('e2')] }, 10);
  assert.is(table.usableEngines(11, VERSION).length, 0);
  table.applyList({ version: 2, vms: [engine('e1'), engine('e2')] }, 20);
  assert.is(table.usableEngines(21, VERSION).length, 0);
});

test('only engines that lately said so have a version', () => {
  const table = createTable();
  assert.is(table.usableEngines(1, { ...VERSION, version: '2' }).length, 0);
  assert.equal(
    table.usableEngines(1, VERSION).map(({ id }) => id),
    ['e1'],
  );
});

test('a late report does not replace a newer one, and clears only what it can have seen', () => {
  const table = createTable();
  table.noteSent('e1', 50);
  table.noteSent('e1', 150);
  table.applyReport('e1', report(100, 3), 160);
  table.applyReport('e1', report(40, 9), 170);
  assert.is(table.find('e1')?.report?.running, 3);
  assert.equal(table.find('e1')?.sentAtMs, [150]);
});

test('a breaker opens after failures in a row, and lets one request try', () => {
  let breaker = CLOSED_BREAKER;
  for (let failures = 0; failures < 3; failures += 1) {
    assert.is(readBreaker(breaker, 0), 'closed');
    breaker = noteFailure(breaker, 0);
  }
  assert.is(readBreaker(breaker, 999), 'open');
  assert.is(readBreaker(breaker, 1_000), 'half-open');
  breaker = noteTrial(breaker, 1_000);
  assert.is(readBreaker(breaker, 1_001), 'open', 'a second request waits for the first');
  breaker = noteFailure(breaker, 1_002);
  assert.is(readBreaker(breaker, 2_900), 'open', 'the pause doubles');
});

test('gaps and repeats in cache events do no harm', () => {
  const table = createTable();
  table.applyCacheEvents('e1', [{ sequence: 5, prefixHash: 'a', change: 'stored' }]);
  table.applyCacheEvents('e1', [{ sequence: 4, prefixHash: 'a', change: 'evicted' }]);
  assert.ok(table.find('e1')?.prefixes.has('a'));
  table.applyCacheEvents('e1', [{ sequence: 9, prefixHash: 'a', change: 'evicted' }]);
  assert.not(table.find('e1')?.prefixes.has('a'));
});

test.run();
