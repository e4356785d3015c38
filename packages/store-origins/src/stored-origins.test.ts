import { test } from 'uvu';
import * as assert from 'uvu/assert';
import digestStream from './digest-stream.js';
import { decodeSegment, encodeSegment } from './segment-item.js';
import StoredOrigins from './stored-origins.js';

const digest = (streamId: string): string => digestStream({ service: 'llm', streamId });
const segment = (softwareVersion: string, ...streams: string[]) =>
  decodeSegment(
    encodeSegment(streams.map((id) => ({ digest: digest(id), service: 'llm', softwareVersion }))),
  )!;

function create() {
  const stored = new StoredOrigins({ now: () => 0 });
  const find = (id: string, service = 'llm'): string | undefined =>
    stored.find({ service, digest: digest(id) });
  return { stored, find };
}

// A segment is written again with each group, and goes with its lease.
test('streams are found until the last segment that holds them is gone', () => {
  const { stored, find } = create();
  stored.put('a/1', segment('v1', 's1', 's2'));
  stored.put('a/1', segment('v1', 's1', 's2', 's3'));
  stored.put('b/1', segment('v1', 's3'));
  assert.equal(
    ['s1', 's3', 's4'].map((id) => find(id)),
    ['v1', 'v1', undefined],
  );
  assert.is(find('s1', 'other'), undefined);
  stored.remove('a/1');
  assert.equal(
    ['s1', 's3'].map((id) => find(id)),
    [undefined, 'v1'],
  );
  stored.clear();
  assert.is(find('s3'), undefined);
  assert.is(stored.size, 0);
});

// Streams that a rewritten segment no longer holds would have stayed in memory.
test('streams that leave a segment are forgotten', () => {
  const { stored, find } = create();
  stored.put('a/1', segment('v1', 's1', 's2'));
  stored.put('b/1', segment('v1', 's1'));
  assert.is(stored.size, 2);
  stored.put('a/1', segment('v1', 's3'));
  assert.equal(
    ['s1', 's2', 's3'].map((id) => find(id)),
    ['v1', undefined, 'v1'],
  );
  stored.remove('b/1');
  stored.remove('a/1');
  assert.is(stored.size, 0);
});

// A stream would have gone on at a version that perhaps did not begin it.
test('a stream that two segments ascribe to different versions is unknown', () => {
  const { stored, find } = create();
  stored.put('a/1', segment('v1', 's1'));
  stored.put('b/1', segment('v2', 's1'));
  assert.is(find('s1'), undefined);
});

// Each rewrite of a segment would count its streams as new.
test('only streams that a segment did not hold before are reported', () => {
  const { stored } = create();
  const reported: string[] = [];
  stored.onArrival((arrived) => reported.push(arrived));
  stored.put('a/1', segment('v1', 's1'));
  stored.put('a/1', segment('v1', 's1', 's2'));
  assert.equal(reported, [digest('s1'), digest('s2')]);
});

// An item of another build, or one cut short, would have named wrong streams.
test('an item that is no segment is refused', () => {
  const values = ['', '[]', '{"llm":"v1"}', '{"llm":{"v1":3}}', '{"llm":{"v1":"short"}}'];
  values.forEach((value) => assert.is(decodeSegment(Buffer.from(value)), undefined, value));
});

test.run();
