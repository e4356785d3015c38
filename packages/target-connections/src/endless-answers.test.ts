/** Guards against answers whose head or framing never ends: one of them took a whole VM until its deadline. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createConnections, send, startTarget } from './target.fixture.js';

/** Most bytes that a target can send of an answer that never ends, with what its connection holds. */
const MAX_SENT_BYTES = 5e6;
const MAX_TIME_MS = 1_000;
const FILLING = Buffer.alloc(16_384, 'A');
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Beginnings of answers, and what follows without end. */
const ANSWERS: Readonly<Record<string, [string, Buffer]>> = {
  'a reason phrase': ['HTTP/1.1 200 ', FILLING],
  'no status line': ['', FILLING],
  'interim answers': ['', Buffer.from('HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n'.repeat(300))],
  headers: ['HTTP/1.1 200 OK\r\n', Buffer.from('X-Pad: yyyyyyyy\r\n'.repeat(900))],
  'the value of a header': ['HTTP/1.1 200 OK\r\nX-Pad: ', FILLING],
  'the extension of a chunk': [`${CHUNKED}4;x=`, FILLING],
  trailers: [`${CHUNKED}2\r\nok\r\n0\r\n`, Buffer.from('X-Pad: yyyyyyyy\r\n'.repeat(900))],
  'bytes behind an answer': ['HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', FILLING],
};

/** Writes as fast as the other side reads. Returns the bytes written so far. */
function writeEndlessly(socket: Socket, more: Buffer): () => number {
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(more));
  };
  socket.on('drain', () => setImmediate(writeMore));
  writeMore();
  return () => socket.bytesWritten;
}

for (const [name, [beginning, more]] of Object.entries(ANSWERS)) {
  test(`an endless answer is ended: ${name}`, async () => {
    let countSent = (): number => 0;
    const target = await startTarget((socket) => {
      socket.write(beginning);
      countSent = writeEndlessly(socket, more);
    });
    const connections = createConnections();
    const answer = send(connections, target.target);
    const outcome = await Promise.race([answer, sleep(MAX_TIME_MS)]);
    connections.closeAll();
    await target.stop();
    assert.ok(outcome, `no end within ${MAX_TIME_MS} ms`);
    assert.ok(outcome.fault !== undefined || outcome.body === 'ok');
    assert.ok(countSent() < MAX_SENT_BYTES, `${countSent()} bytes`);
  });
}

test.run();
