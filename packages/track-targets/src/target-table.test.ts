import type { ListedVm, LoadReport } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  CLOSED_BREAKER,
  createTargetTable,
  breakerAfterFailure,
  breakerAfterSend,
  getBreakerState,
} from './index.js';

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

test('a target accepts requests only while the list is recent', () => {
  const table = createTable();
  assert.is(table.listUsableEngines(1_000, VERSION).length, 1);
  assert.is(table.listUsableEngines(1_001, VERSION).length, 0);
  table.applyList({ version: 2, vms: [] }, 500);
  assert.is(
    table.listUsableEngines(1_400, VERSION).length,
    1,
    'reading the same list again renews it',
  );
});

test('a leaving target accepts no requests at once, and an older list does not restore it', () => {
  const table = createTable();
  table.applyList({ version: 3, vms: [engine('e1', true), engine('e2')] }, 10);
  assert.is(table.listUsableEngines(11, VERSION).length, 0);
  table.applyList({ version: 2, vms: [engine('e1'), engine('e2')] }, 20);
  assert.is(table.listUsableEngines(21, VERSION).length, 0);
});

test('only engines with a recent report have a version', () => {
  const table = createTable();
  assert.is(table.listUsableEngines(1, { ...VERSION, version: '2' }).length, 0);
  assert.equal(
    table.listUsableEngines(1, VERSION).map(({ id }) => id),
    ['e1'],
  );
});

test('a late report does not replace a newer one, and clears only requests sent before it was taken', () => {
  const table = createTable();
  table.recordRequestSent('e1', 50);
  table.recordRequestSent('e1', 150);
  table.applyReport('e1', report(100, 3), 160);
  table.applyReport('e1', report(40, 9), 170);
  assert.is(table.find('e1')?.report?.running, 3);
  assert.equal(table.find('e1')?.sentAtMs, [150]);
});

test('a breaker opens after consecutive failures, and then lets one probe through', () => {
  let breaker = CLOSED_BREAKER;
  for (let failures = 0; failures < 3; failures += 1) {
    assert.is(getBreakerState(breaker, 0), 'closed');
    breaker = breakerAfterFailure(breaker, 0);
  }
  assert.is(getBreakerState(breaker, 999), 'open');
  assert.is(getBreakerState(breaker, 1_000), 'half-open');
  breaker = breakerAfterSend(breaker, 1_000);
  assert.is(getBreakerState(breaker, 1_001), 'open', 'no second probe is let through');
  breaker = breakerAfterFailure(breaker, 1_002);
  assert.is(getBreakerState(breaker, 2_900), 'open', 'the pause doubles');
});

test('gaps in cache events are tolerated and repetitions ignored', () => {
  const table = createTable();
  table.applyCacheEvents('e1', [{ sequence: 5, prefixHash: 'a', change: 'stored' }]);
  table.applyCacheEvents('e1', [{ sequence: 4, prefixHash: 'a', change: 'evicted' }]);
  assert.ok(table.find('e1')?.prefixes.has('a'));
  table.applyCacheEvents('e1', [{ sequence: 9, prefixHash: 'a', change: 'evicted' }]);
  assert.not(table.find('e1')?.prefixes.has('a'));
});

test.run();
