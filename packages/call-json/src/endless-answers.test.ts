/** Guards against answers of the store and the platform without end: they were read, and kept, until a timeout. */
import { systemTimers, type Address } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createJsonCaller, createSingleConnectionClient, requestText } from './index.js';
import { MAX_ANSWER_BYTES } from './single-connection-client.js';

const TIMEOUT_MS = 10_000;
/** What the sockets of both ends hold beside the bytes that are read. */
const MAX_HELD_BYTES = 16e6;
const MAX_HEAD_SENT_BYTES = 5e6;
const SILENCE_MS = 100;
const DRIP_INTERVAL_MS = 10;
const FILLING = Buffer.alloc(16_384, 'A');
const CHUNK = Buffer.concat([Buffer.from('4000\r\n'), FILLING, Buffer.from('\r\n')]);
const OK = 'HTTP/1.1 200 OK\r\n';

/** Beginnings of answers, what follows without end, and a limit on the bytes that are sent of them. */
const ANSWERS: Readonly<Record<string, [string, Buffer, number]>> = {
  body: [`${OK}Content-Length: 900000000000\r\n\r\n`, FILLING, MAX_ANSWER_BYTES + MAX_HELD_BYTES],
  chunks: [`${OK}Transfer-Encoding: chunked\r\n\r\n`, CHUNK, MAX_ANSWER_BYTES + MAX_HELD_BYTES],
  'reason phrase': ['HTTP/1.1 200 ', FILLING, MAX_HEAD_SENT_BYTES],
  extension: [`${OK}Transfer-Encoding: chunked\r\n\r\n4;x=`, FILLING, MAX_HEAD_SENT_BYTES],
};

/** Runs with a service that answers in some way; returns the bytes that it sent. */
async function withService(
  answer: (socket: Socket) => void,
  use: (address: Address) => Promise<void>,
): Promise<number> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await use({ host: '127.0.0.1', port: (server.address() as AddressInfo).port });
  } finally {
    sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }
  return sockets.reduce((bytes, socket) => bytes + socket.bytesWritten, 0);
}

function pour(socket: Socket, beginning: string, more: Buffer): void {
  socket.write(beginning);
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(more));
  };
  socket.on('drain', () => setImmediate(writeMore));
  writeMore();
}

function drip(socket: Socket, beginning: string): void {
  socket.write(beginning);
  const timer = setInterval(() => socket.write('x'), DRIP_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
}

/** Fails if the call takes as long as its timeout. */
function inTime<Value>(call: Promise<Value>): Promise<Value | 'late'> {
  return new Promise((resolve) => {
    const cancel = systemTimers.after(TIMEOUT_MS / 2, () => resolve('late'));
    void call.then((value) => {
      cancel();
      resolve(value);
    });
  });
}

for (const [part, [beginning, more, maxSentBytes]] of Object.entries(ANSWERS)) {
  const answer = (socket: Socket): void => pour(socket, beginning, more);
  test(`a call ends at an answer without end, and says why: ${part}`, async () => {
    const sentBytes = await withService(answer, async (address) => {
      const result = await inTime(
        createJsonCaller(address, TIMEOUT_MS)({ method: 'GET', path: '/' })(),
      );
      assert.ok(result !== 'late' && E.isLeft(result), 'no end');
      assert.match(result.left.message, /of \d+, where \d+ are allowed/);
      assert.is(result.left.reason, 'broken');
      assert.is(result.left.sent, 'maybe');
    });
    assert.ok(sentBytes < maxSentBytes, `${sentBytes} bytes`);
  });

  test(`a read ends at an answer without end, and says why: ${part}`, async () => {
    const sentBytes = await withService(answer, async (address) => {
      const client = createSingleConnectionClient(address, 1_000);
      const timeouts = { firstMs: TIMEOUT_MS, silenceMs: TIMEOUT_MS };
      const result = await inTime(requestText(client, { path: '/', query: {} }, timeouts));
      assert.equal(result, E.left('too-long'));
      await client.destroy();
    });
    assert.ok(sentBytes < maxSentBytes, `${sentBytes} bytes`);
  });
}

// Guards against a store that sends a byte at a time and is waited for without end.
for (const [place, beginning] of Object.entries({
  'the body': `${OK}Content-Length: 900000\r\n\r\n{`,
  'the head': `${OK}X-Pad: `,
})) {
  test(`a read ends although its answer comes byte by byte without end: ${place}`, async () => {
    await withService(
      (socket) => drip(socket, beginning),
      async (address) => {
        const client = createSingleConnectionClient(address, 1_000);
        const timeouts = { firstMs: SILENCE_MS, silenceMs: SILENCE_MS };
        const result = await inTime(requestText(client, { path: '/', query: {} }, timeouts));
        assert.equal(result, E.left('silent'));
        await client.destroy();
      },
    );
  });
}

test.run();
