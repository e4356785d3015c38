import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { CrashRecord } from './crash-record.js';
import CrashTable, { QUARANTINE_MS } from './crash-table.js';

const SERVICE = 'llm';
const never = (): number => 0;
const SCOPE = { service: SERVICE, version: undefined };

function crash(number: number, startedAtMs: number, endedAtMs: number): CrashRecord {
  const target = `t${number}`;
  return { request: 'r', service: SERVICE, caller: 'c', target, startedAtMs, endedAtMs };
}

const consecutive = [crash(1, 0, 100), crash(2, 100, 200), crash(3, 200, 300)];

function createTable(crashes: CrashRecord[]): CrashTable {
  const table = new CrashTable(never);
  crashes.forEach((one) => table.recordCrash(one, 300));
  return table;
}

test('three consecutive crashes quarantine a request, two make it suspected, one has no effect', () => {
  const statuses = [1, 2, 3].map((count) =>
    createTable(consecutive.slice(0, count)).getStatus('r', 300),
  );
  assert.equal(statuses, ['clear', 'suspected', 'quarantined']);
});

test('crashes merge in any order, however often they are reported', () => {
  const [first, second, third] = consecutive;
  for (const order of [
    [third, second, first],
    [second, third, first],
    [first, third, first, second, second],
  ]) {
    const table = createTable(order.flatMap((one) => one ?? []));
    assert.equal(table.listCrashedTargets('r'), ['t1', 't2', 't3']);
    assert.is(table.getStatus('r', 300), 'quarantined');
  }
});

test('a frequent request on targets that all fail at once is suspected, not quarantined', () => {
  const atOnce = Array.from({ length: 12 }, (_, index) => crash(index, index, 100 + index * 2));
  assert.is(createTable(atOnce).getStatus('r', 300), 'suspected');
});

test('concurrent runs at two VMs quarantine a request no sooner than consecutive runs', () => {
  const pairs = [0, 100].flatMap((atMs) => [
    crash(atMs + 1, atMs, atMs + 100),
    crash(atMs + 2, atMs + 30, atMs + 130),
  ]);
  assert.is(createTable(pairs).getStatus('r', 300), 'suspected');
  assert.is(createTable([...pairs, crash(9, 240, 300)]).getStatus('r', 300), 'quarantined');
});

test('crashes that peers report late still count as consecutive', () => {
  const late = [crash(1, 0, 100 + 20), crash(2, 100, 200 + 20), crash(3, 200, 300)];
  assert.is(createTable(late).getStatus('r', 300), 'quarantined');
});

test('a harmless run clears a request, and crashes from before it have no effect any more', () => {
  const table = createTable(consecutive);
  assert.ok(table.clearRequest('r', SCOPE, 310, 310));
  assert.not(table.clearRequest('r', SCOPE, 311, 311));
  assert.is(table.getStatus('r', 310), 'clear');
  assert.not(table.recordCrash(crash(3, 200, 320), 320));
  assert.ok(table.recordCrash(crash(4, 320, 350), 350));
});

test('a harmless run of other software does not clear a request', () => {
  const table = createTable(consecutive.map((one) => ({ ...one, version: 'v1' })).slice(0, 2));
  assert.not(table.clearRequest('r', { service: SERVICE, version: 'v2' }, 310, 310));
  assert.not(table.clearRequest('r', { service: 'other', version: 'v1' }, 310, 310));
  assert.is(table.getStatus('r', 310), 'suspected');
  assert.ok(table.clearRequest('r', { service: SERVICE, version: 'v1' }, 310, 310));
  assert.is(table.getStatus('r', 310), 'clear');
});

test('a request that the same software ran before needs one more round of crashes', () => {
  const table = new CrashTable(never);
  table.recordCrash(crash(0, 0, 10), 10);
  assert.ok(table.clearRequest('r', SCOPE, 20, 20));
  const statuses = [1, 2, 3, 4, 5, 6].map((number) => {
    table.recordCrash(crash(number, number * 100, number * 100 + 50), number * 100 + 50);
    return table.getStatus('r', number * 100 + 50);
  });
  assert.equal(statuses, ['clear', 'clear', 'clear', 'clear', 'suspected', 'quarantined']);
});

test('a withdrawn crash is not restored by a repeated update', () => {
  const table = createTable(consecutive.slice(0, 2));
  assert.ok(table.withdrawCrash('r', 't1', 300));
  assert.is(table.getStatus('r', 300), 'clear');
  assert.not(table.recordCrash(crash(1, 0, 100), 300));
});

test('ends that a quarantined request explains do not count against bystanders', () => {
  const table = createTable(consecutive.slice(0, 2));
  const bystander = (number: number): CrashRecord => ({
    ...crash(number, number * 100 - 100, number * 100),
    request: 'bystander',
  });
  assert.ok(table.recordCrash(bystander(1), 300));
  assert.ok(table.recordCrash(bystander(2), 300));
  assert.is(table.getStatus('bystander', 300), 'suspected');
  consecutive.slice(2).forEach((one) => table.recordCrash(one, 300));
  assert.is(table.getStatus('bystander', 300), 'clear');
  assert.not(table.recordCrash(bystander(3), 300));
  assert.not(table.hasEntry('bystander'));
});

test('a quarantine expires, and one more crash restores it', () => {
  const table = createTable(consecutive);
  const overAtMs = 300 + QUARANTINE_MS;
  assert.is(table.quarantineLeftMs('r', 300), QUARANTINE_MS);
  assert.is(table.getStatus('r', overAtMs - 1), 'quarantined');
  assert.is(table.getStatus('r', overAtMs), 'suspected');
  table.recordCrash(crash(4, overAtMs + 10, overAtMs + 60), overAtMs + 60);
  assert.is(table.getStatus('r', overAtMs + 60), 'quarantined');
});

test('a quarantine that is restored leaves other expired ones one crash away from theirs', () => {
  const table = createTable(consecutive);
  consecutive.forEach(({ target, ...rest }) =>
    table.recordCrash({ ...rest, request: 'other', target: `other-${target}` }, 300),
  );
  const overAtMs = 300 + QUARANTINE_MS;
  assert.equal(
    [table.getStatus('r', overAtMs), table.getStatus('other', overAtMs)],
    ['suspected', 'suspected'],
  );
  table.recordCrash(crash(4, overAtMs + 10, overAtMs + 60), overAtMs + 60);
  assert.is(table.getStatus('r', overAtMs + 60), 'quarantined');
  assert.is(table.getStatus('other', overAtMs + 60), 'suspected');
});

test('crashes expire', () => {
  const table = createTable(consecutive.slice(0, 2));
  table.recordCrash({ ...crash(1, 0, 1), request: 'other' }, QUARANTINE_MS + 300);
  assert.not(table.hasEntry('r'));
});

test('later requests of a caller whose requests all crash targets need fewer crashes', () => {
  const table = new CrashTable(never);
  const crashCounts = Array.from({ length: 8 }, (_, index) => {
    const request = `r${index}`;
    let count = 0;
    while (table.getStatus(request, 0) !== 'quarantined') {
      const target = `${request}-${count}`;
      table.recordCrash({ ...crash(0, count, count + 1), request, target }, 0);
      count += 1;
    }
    return count;
  });
  assert.equal(crashCounts, [3, 3, 2, 2, 2, 2, 2, 2]);
  table.recordCrash({ ...crash(0, 0, 1), request: 'of-another', caller: 'd' }, 0);
  assert.is(table.getStatus('of-another', 0), 'clear');
});

test('suspected requests are evicted before quarantined ones, and evictions are reported', () => {
  const dropped: string[] = [];
  const table = new CrashTable(never, (request) => dropped.push(request));
  consecutive.forEach((one) => table.recordCrash(one, 300));
  for (let index = 0; index < 2_010; index += 1) {
    table.recordCrash({ ...crash(4, 0, 100), request: `one-${index}` }, 300);
  }
  assert.is(table.getStatus('r', 300), 'quarantined');
  assert.is(dropped.length, 11);
  assert.is(dropped[0], 'one-0');
});

test.run();
