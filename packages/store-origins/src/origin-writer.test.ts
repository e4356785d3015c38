/** The origins of streams reach the store in groups, whatever happens to store and writers. */
import type { LogFields } from '@limelead/decision-log';
import createMetrics from '@limelead/metrics';
import { createManualTime } from '@limelead/stand-ins';
import type { StreamOrigin } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import FakeSegmentStore from './fake-segment-store.fixture.js';
import { OriginWriter, StoredOrigins } from './index.js';

const origin = (streamId: string, leftMs = 10_000, softwareVersion = 'v1'): StreamOrigin => ({
  ...{ streamId, service: 'llm', softwareVersion, leftMs },
});

/** Creates VMs that share a store; the first one that is not lost is the writer of all streams. */
function create(vmCount = 1) {
  const time = createManualTime();
  const store = new FakeSegmentStore();
  const lines: LogFields[] = [];
  const lost = new Set<number>();
  const numbers = Array.from({ length: vmCount }, (_, vm) => vm);
  const vms = numbers.map((vm) => {
    const stored = new StoredOrigins(time.clock);
    store.views.push(stored);
    return new OriginWriter({
      ...{ ...time, store, stored, metrics: createMetrics() },
      random: { next: () => 0.5 },
      log: {
        write: (event, fields) => lines.push({ vm, event, ...fields }),
        flush: () => Promise.resolve(),
        dropped: 0,
      },
      toKey: (segment) => `${vm}/${segment}`,
      isWriterOf: () => numbers.find((other) => !lost.has(other)) === vm,
      countWriters: () => 1,
      countVms: () => vmCount,
    });
  });
  const find = (streamId: string, vm = 0): string | undefined =>
    vms[vm]!.find({ streamId, service: 'llm' });
  /** A stream that one VM serves and tells the others. */
  const begin = (streamId: string, vm = 0, leftMs?: number): void =>
    vms.forEach((writer, other) => writer.add(origin(streamId, leftMs), other === vm));
  const keys = (): string[] => [...store.items.keys()];
  return { time, store, lines, lost, vms, find, begin, keys };
}

// A write a stream would exceed what the store takes.
test('the first stream is written at once, those behind it as one group', async () => {
  const { time, begin, lines, find, keys, store } = create();
  begin('a');
  await time.advance(0);
  assert.is(find('a'), 'v1');
  begin('b');
  await time.advance(50);
  begin('c');
  assert.is(find('b'), undefined);
  await time.advance(50);
  assert.is(find('c'), 'v1');
  assert.equal(
    lines.map(({ streams, oldestMs }) => [streams, oldestMs]),
    [
      [1, 0],
      [2, 100],
    ],
  );
  assert.equal(keys(), ['0/1']);
  assert.is(store.calls, 3);
});

// Ids of streams may be personal.
test('items hold no id of a stream', async () => {
  const { time, begin, store } = create();
  begin('someones-id');
  await time.advance(0);
  const [item] = store.items.values();
  assert.match(item!.value.toString(), /^\{"llm":\{"v1":"[\w-]{11}"\}\}$/);
});

// The items of a segment would be written over and over, or be lost with a lease that is too short.
test('a segment ends after two seconds, and its lease outlives its streams', async () => {
  const { time, begin, store, keys } = create();
  begin('a');
  await time.advance(1_999);
  begin('b');
  await time.advance(100);
  begin('c');
  await time.advance(100);
  assert.equal(keys(), ['0/1', '0/2']);
  assert.equal([...store.leases.values()], [14_000, 14_000]);
});

// A stream with a later deadline than the segment's lease would be lost with it.
test('a stream that outlives the lease of the segment gets another one', async () => {
  const { time, begin, store, keys } = create();
  begin('a', 0, 1_000);
  await time.advance(100);
  begin('b', 0, 60_000);
  await time.advance(100);
  begin('c', 0, 1_000);
  await time.advance(100);
  assert.equal(keys(), ['0/1', '0/2']);
  assert.equal([...store.leases.values()], [5_000, 64_000]);
});

// Many streams at once would make an item that the store refuses.
test('a segment stays below its size, and the streams beyond it follow', async () => {
  const { time, begin, store, find } = create();
  const ids = Array.from({ length: 400 }, (_, index) => `s${index}`);
  ids.forEach((id) => begin(id));
  await time.advance(500);
  assert.ok([...store.items.values()].every(({ value }) => value.length <= 1_024));
  assert.is(store.items.size, 5);
  assert.ok(ids.every((id) => find(id) === 'v1'));
});

// Streams of a segment whose lease had gone would have been taken for stored.
test('behind the end of a lease the streams go into a new segment', async () => {
  const { time, begin, store, find, keys, lines } = create();
  begin('a');
  await time.advance(100);
  store.endLeases();
  begin('b');
  await time.advance(1_000);
  assert.is(find('b'), 'v1');
  assert.equal(keys(), ['0/2']);
  assert.is(lines.filter(({ event }) => event === 'origins-store-failed').length, 1);
});

// A store that turned writes away lost the streams of that time, and was called again at once.
test('writes that are refused are retried ever more slowly, without loss', async () => {
  const { time, begin, store, find } = create();
  store.failure = 'no';
  begin('a');
  await time.advance(10_000 - 100);
  assert.ok(store.calls >= 5 && store.calls <= 8, `${store.calls} calls`);
  begin('b', 0, 30_000);
  store.failure = undefined;
  await time.advance(5_000);
  assert.is(find('b'), 'v1');
  const calls = store.calls;
  await time.advance(60_000);
  assert.is(store.calls, calls);
});

// A write without an answer might take effect later, and would undo the next one of its segment.
test('behind a write without an answer the segment is written no more', async () => {
  const { time, begin, store, keys, find } = create(2);
  begin('a');
  await time.advance(100);
  store.failure = 'maybe';
  begin('b');
  await time.advance(0);
  store.failure = undefined;
  begin('c');
  await time.advance(1_000);
  assert.equal(keys(), ['0/1', '0/2']);
  assert.is(find('c', 1), 'v1');
});

// The streams that a lost writer had been told of stayed out of the store.
test('the next VM writes what a lost writer left', async () => {
  const { time, begin, lost, vms, find, keys } = create(3);
  begin('a', 2);
  await time.advance(50);
  begin('b', 2);
  vms[0]!.forget('b');
  lost.add(0);
  await time.advance(600);
  assert.is(find('b', 2), 'v1');
  assert.equal(keys(), ['0/1', '1/1']);
});

// A writer that reached no store, or was told nothing, kept the streams of all others out of it.
test('a VM writes its own streams that stay out of the store for a second', async () => {
  const { time, vms, find, keys } = create(3);
  vms[2]!.add(origin('a'), true);
  vms[1]!.add(origin('b'), false);
  await time.advance(900);
  assert.equal(keys(), []);
  await time.advance(400);
  assert.is(find('a'), 'v1');
  assert.is(find('b'), undefined);
  assert.equal(keys(), ['2/1']);
});

// Streams that nobody can resume cost writes.
test('a stream that ended well before its group is not written', async () => {
  const { time, begin, vms, store, find } = create();
  begin('a');
  await time.advance(10);
  begin('b');
  vms[0]!.forget('b');
  await time.advance(1_000);
  assert.is(find('b'), undefined);
  assert.is(store.calls, 2);
});

// Other VMs wrote again what the writer had stored, in each fleet as often as it has VMs.
test('a stream that one VM stored is written by no other', async () => {
  const { time, begin, lost, store } = create(3);
  begin('a', 2);
  await time.advance(0);
  const { calls } = store;
  lost.add(0);
  await time.advance(5_000);
  assert.is(store.calls, calls);
});

// A stream that its caller resumes lives longer than the lease of the segment that holds it.
test('a stream that is resumed with a later deadline is stored again', async () => {
  const { time, begin, store } = create();
  begin('a', 0, 2_000);
  await time.advance(1_500);
  begin('a', 0, 12_000);
  await time.advance(100);
  assert.equal([...store.leases.values()], [6_000, 16_000]);
});

// Two VMs that each take themselves for the writer must not hide what the other wrote.
test('streams that two VMs store are found once', async () => {
  const { time, vms, find } = create(2);
  vms[0]!.add(origin('a'), true);
  await time.advance(0);
  vms[1]!.add(origin('a'), true);
  await time.advance(2_000);
  assert.is(find('a', 0), 'v1');
  assert.is(find('a', 1), 'v1');
});

test.run();
