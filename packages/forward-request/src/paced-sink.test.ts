import createDecisionLog from '@limelead/decision-log';
import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HIGH_WATER_BYTES, LOW_WATER_BYTES, MAX_READ_PAUSE_MS } from './decide-reading.js';
import { createAdmittedRequest, RecordingSink } from './forwarding.fixture.js';
import PacedSink from './paced-sink.js';
import ReadPauses from './read-pauses.js';

const PIECE = Buffer.from('piece');

/** Creates a paced answer; `changes` holds what its source was told. */
function create() {
  const { clock, timers, advance } = createManualTime();
  let text = '';
  const log = createDecisionLog({
    vm: 'test',
    clock,
    output: (lines, done) => {
      text += lines;
      done();
    },
  });
  const readPauses = new ReadPauses(log, clock);
  const caller = new RecordingSink();
  const sink = new PacedSink({ clock, timers, readPauses }, createAdmittedRequest(), caller);
  const changes: boolean[] = [];
  sink.readFrom({ setReadPaused: (isPaused) => changes.push(isPaused) });
  const writeBehind = (waitingBytes: number): void => {
    caller.waitingBytes = waitingBytes;
    sink.write(PIECE);
  };
  const outcomes = async (): Promise<unknown[]> => {
    await log.flush();
    const lines = text.split('\n').filter((line) => line !== '');
    return lines.map((line) => (JSON.parse(line) as Record<string, unknown>)['outcome']);
  };
  return { advance, caller, sink, changes, readPauses, writeBehind, outcomes };
}

// Guards against memory that grows with what a target writes while the caller reads slowly.
test('reading pauses behind a backlog and continues once the caller has caught up', async () => {
  const { caller, changes, readPauses, writeBehind, outcomes } = create();
  writeBehind(HIGH_WATER_BYTES - 1);
  assert.equal(changes, []);
  writeBehind(HIGH_WATER_BYTES);
  assert.equal(changes, [true]);
  assert.is(readPauses.pausedReads, 1);
  caller.setWaitingBytes(LOW_WATER_BYTES);
  assert.equal(changes, [true, false]);
  assert.is(readPauses.pausedReads, 0);
  assert.equal(await outcomes(), ['drained']);
});

// Guards against an answer that the target cuts off because it stays unread.
test('after the longest pause, reading goes on until the caller has caught up', async () => {
  const { advance, caller, changes, writeBehind, outcomes } = create();
  writeBehind(HIGH_WATER_BYTES);
  await advance(MAX_READ_PAUSE_MS - 1);
  assert.equal(changes, [true]);
  await advance(1);
  assert.equal(changes, [true, false]);
  writeBehind(HIGH_WATER_BYTES * 2);
  assert.equal(changes, [true, false]);
  caller.setWaitingBytes(0);
  writeBehind(HIGH_WATER_BYTES);
  assert.equal(changes, [true, false, true]);
  assert.equal(await outcomes(), ['overdue']);
});

// Guards against pauses that stay counted after their answer, and against a late resume.
test('a paused answer that ends or whose caller leaves is no longer paused', async () => {
  for (const finish of ['end', 'leave'] as const) {
    const { advance, caller, sink, changes, readPauses, writeBehind, outcomes } = create();
    sink.onCallerLeft(() => undefined);
    writeBehind(HIGH_WATER_BYTES);
    if (finish === 'end') {
      sink.end();
    } else {
      caller.leave();
    }
    assert.is(readPauses.pausedReads, 0);
    await advance(MAX_READ_PAUSE_MS);
    assert.equal(changes, [true]);
    assert.equal(await outcomes(), ['ended']);
  }
});

test.run();
