import { backoffMs } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import PendingOrigins, { toPending } from './pending-origins.js';
import { groupIntervalMs, planGroup, WRITE_RETRIES, type OpenSegment } from './plan-group.js';

const pending = (streamId: string, { leftMs = 10_000, softwareVersion = 'v1' } = {}) =>
  toPending({ streamId, service: 'llm', softwareVersion, leftMs }, true, 0);

const OPEN: OpenSegment = {
  ...{ key: 'k', openedAtMs: 0, lease: 1, leaseEndsAtMs: 14_000, entries: [], bytes: 0 },
};

// A large fleet would have spent the store's writes on origins alone.
test('the more VMs write, the longer each waits, so that all together stay below 50 groups a second', () => {
  assert.equal([1, 6, 8, 16, 300].map(groupIntervalMs), [100, 120, 160, 320, 6_000]);
});

// VMs whose writes failed at the same moment would have come back at the same moment.
test('retries are drawn from the upper half of a delay that doubles up to five seconds', () => {
  assert.equal(
    [1, 2, 9].map((failures) => backoffMs(failures, WRITE_RETRIES, 0)),
    [100, 200, 2_500],
  );
  assert.equal(
    [1, 2, 9].map((failures) => backoffMs(failures, WRITE_RETRIES, 1)),
    [200, 400, 5_000],
  );
});

// An item would have grown beyond what the store takes.
test('a group goes into the open segment while it is young, has room and lives long enough', () => {
  const group = [pending('a')];
  const full = {
    ...OPEN,
    entries: Array.from({ length: 92 }, (_, index) => pending(`s${index}`)),
  };
  assert.is(planGroup(group, undefined, 0).segment, undefined);
  assert.is(planGroup(group, OPEN, 1_999).segment, OPEN);
  assert.is(planGroup(group, OPEN, 2_000).segment, undefined);
  assert.is(planGroup(group, full, 0).segment, undefined);
  assert.is(planGroup([pending('a', { leftMs: 12_001 })], OPEN, 0).segment, undefined);
});

// A stream that may be resumed for an hour would have opened a segment with each group.
test('the longest lease of the store is enough for any stream', () => {
  const hour = [pending('a', { leftMs: 3_600_000 })];
  const plan = planGroup(hour, undefined, 0);
  assert.is(plan.leaseMs, 600_000);
  assert.ok(planGroup(hour, { ...OPEN, leaseEndsAtMs: 600_000 }, 1_000).segment);
});

// A version with a very long name would never have been written.
test('one stream at least is written', () => {
  const long = pending('a', { softwareVersion: 'v'.repeat(3_000) });
  assert.is(planGroup([long, pending('b')], undefined, 0).group.length, 1);
});

// Streams behind many that others write were never looked at.
test('a search goes on behind those that it looked at last time', () => {
  const origins = new PendingOrigins();
  Array.from({ length: 2_500 }, (_, index) => origins.add(pending(`s${index}`)));
  const isLast = ({ streamId }: { streamId: string }): boolean => streamId === 's2499';
  assert.is(origins.search(0, isLast).length, 0);
  assert.is(origins.search(0, isLast).length, 1);
  assert.is(origins.size, 2_500);
});

// Memory would have grown while the store takes no writes.
test('pending streams are bounded, and forgotten at their deadlines', () => {
  const origins = new PendingOrigins();
  Array.from({ length: 30_001 }, (_, index) => origins.add(pending(`s${index}`)));
  assert.is(origins.size, 30_000);
  const few = new PendingOrigins();
  few.add(pending('a'));
  assert.is(few.search(10_000, () => true).length, 0);
  assert.is(few.size, 0);
});

test.run();
