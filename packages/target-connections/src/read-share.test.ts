import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ReadShare, {
  BURST_BYTES,
  BURST_REFILL_MS,
  ConnectionReads,
  TURN_BYTES,
  TURNS_BYTES_PER_MS,
} from './read-share.js';

const TURN_MS = TURN_BYTES / TURNS_BYTES_PER_MS;

function createReads(connections: number) {
  let nowMs = 1_000;
  const share = new ReadShare({ now: () => nowMs });
  return {
    advance: (ms: number) => (nowMs += ms),
    reads: Array.from({ length: connections }, () => new ConnectionReads(share)),
  };
}

// Guards against delays of answers of a usual length.
test('a connection reads a burst without turns, and again once it had time to refill', () => {
  const { reads, advance } = createReads(1);
  const [connection] = reads as [ConnectionReads];
  for (let round = 0; round < 3; round += 1) {
    assert.is(connection.add(BURST_BYTES - 1), true);
    assert.is(connection.requestRead(), 0);
    advance(BURST_REFILL_MS);
  }
});

// Guards against connections that together take more than the rate of all turns.
test('connections beyond their burst wait for turns of the same length, one behind the other', () => {
  const { reads } = createReads(3);
  reads.forEach((connection) => assert.is(connection.add(BURST_BYTES), false));
  const waits = reads.map((connection) => connection.requestRead());
  assert.equal(waits, [TURN_MS, 2 * TURN_MS, 3 * TURN_MS]);
  assert.is(reads[0]?.add(TURN_BYTES - 1), true);
  assert.is(reads[0]?.requestRead(), 0);
  assert.is(reads[0]?.add(1), false);
  assert.is(reads[0]?.requestRead(), 4 * TURN_MS);
});

// Guards against a rate above the limit where a read returns more than was left of a turn.
test('what a connection read beyond its turn counts for the next one', () => {
  const { reads } = createReads(1);
  assert.is(reads[0]?.add(BURST_BYTES + TURN_BYTES), false);
  assert.is(reads[0]?.requestRead(), 2 * TURN_MS);
});

// Guards against turns without a wait behind a time in which no connection took one.
test('unused time leaves no turns behind', () => {
  const { reads, advance } = createReads(2);
  reads[0]?.add(BURST_BYTES);
  assert.is(reads[0]?.requestRead(), TURN_MS);
  advance(10 * BURST_REFILL_MS);
  reads[1]?.add(BURST_BYTES);
  assert.is(reads[1]?.requestRead(), TURN_MS);
});

test.run();
