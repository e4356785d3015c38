import { connect, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configuration } from './front-door.fixture.js';
import TestBed, { ANSWERED, clock, GOOD, head } from './test-bed.fixture.js';

const NOTICE_MS = 1_000;
const PAUSE_MS = 100;
const STATUS = /(?<=HTTP\/1.1 )\d+/g;

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

for (const [status, bytes, reason] of [
  ['400', 'no request at all\r\n\r\n', 'bytes that are no request'],
  ['408', 'POST /call/2 HTTP/1.1\r\n', 'a slow head'],
] as const) {
  test(`${reason} behind a request under way are answered in its place`, async () => {
    const bed = await TestBed.start();
    bed.holdBodies();
    const answers = bed.exchange(GOOD + bytes);
    await until(() => bed.arrivals === 1 && bed.metrics.render().includes('malformed'));
    await new Promise((resolve) => setImmediate(resolve));
    bed.readOn();
    const text = await answers;
    assert.equal(text.match(STATUS), ['200', status]);
    assert.match(text, ANSWERED);
    await bed.stop();
  });
}

test('bytes behind a request that closes its connection do not cut its answer', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const closing = head(['Connection: close', 'Content-Length: 2']) + '\r\nhi';
  const answer = bed.exchange(closing + GOOD);
  await until(() => bed.arrivals === 1);
  bed.readOn();
  const text = await answer;
  assert.equal(text.match(STATUS), ['200']);
  assert.match(text, ANSWERED);
  await bed.stop();
});

test('a caller that leaves in the middle of its next head ends the request ahead of it', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const caller = send(bed, `${GOOD}POST /call/2 HTTP/1.1\r\n`);
  await until(() => bed.arrivals === 1);
  caller.end();
  await until(() => bed.door.openRequests === 0);
  assert.is(bed.door.openRequests, 0);
  bed.readOn();
  await bed.stop();
});

test('a request is forwarded before the one ahead of it is answered', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const answers = bed.exchange(GOOD.repeat(3), /(got hi[^]*){3}/);
  await until(() => bed.door.openRequests === 3 && bed.arrivals === 1);
  await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  assert.is(bed.arrivals, 1);
  bed.readOn();
  assert.equal((await answers).match(STATUS), ['200', '200', '200']);
  await bed.stop();
});

test('a request is forwarded behind an answer that closes the connection', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const answers = bed.exchange(GOOD.repeat(3));
  await until(() => bed.door.openRequests === 3 && bed.arrivals === 1);
  bed.door.startDraining(clock.now() + 5_000);
  bed.readOn();
  assert.equal((await answers).match(STATUS), ['200']);
  await until(() => bed.door.openRequests === 0);
  assert.is(bed.door.openRequests, 0);
  assert.is(bed.arrivals, 1);
  await bed.stop();
});

for (const isLeaving of [false, true]) {
  const name = isLeaving ? 'hides that its caller leaves' : 'is read without limit';
  test(`a flood of requests of one connection ${name}`, async () => {
    const bed = await TestBed.start();
    bed.holdBodies();
    const request = head(['Content-Length: 1']) + '\r\nx';
    const caller = send(bed, request.repeat(3_000));
    let text = '';
    caller.on('data', (chunk) => (text += String(chunk)));
    const closed = new Promise((resolve) => caller.once('close', resolve));
    await until(() => bed.arrivals === 1);
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    const { openRequests } = bed.door;
    const bound = (2 * configuration.limits.maxHeaderBytes) / request.length;
    assert.ok(openRequests > 1 && openRequests <= bound, `${openRequests} open requests`);
    if (isLeaving) {
      caller.destroy();
    } else {
      bed.readOn();
    }
    await closed;
    await until(() => bed.door.openRequests === 0);
    assert.is(bed.door.openRequests, 0);
    assert.is(bed.door.bufferedBodyBytes, 0);
    const statuses = Array<string>(openRequests).fill('200');
    assert.equal(text.match(STATUS) ?? [], isLeaving ? [] : statuses);
    bed.readOn();
    await bed.stop();
  });
}

test.run();
