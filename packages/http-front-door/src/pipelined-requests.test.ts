import { connect, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TestBed, { clock, GOOD } from './test-bed.fixture.js';

const NOTICE_MS = 1_000;

/** Resolves once the condition holds, or after a limit. */
async function until(condition: () => boolean): Promise<void> {
  const endsAtMs = clock.now() + NOTICE_MS;
  while (!condition() && clock.now() < endsAtMs) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function send(bed: TestBed, bytes: string): Socket {
  const socket = connect(bed.door.port, '127.0.0.1', () => socket.write(bytes));
  socket.on('error', () => undefined);
  return socket;
}

test('pipelined requests whose caller leaves stay open, and their bodies stay counted', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const caller = send(bed, GOOD.repeat(4));
  await until(() => bed.door.openRequests === 4 && bed.arrivals > 0);
  assert.is(bed.door.bufferedBodyBytes, 8);
  caller.destroy();
  await until(() => bed.door.openRequests === 0);
  assert.is(bed.door.openRequests, 0);
  assert.is(bed.door.bufferedBodyBytes, 0);
  bed.readOn();
  await bed.stop();
});

test.run();
