import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { collectUncaught, openPaused } from './target.fixture.js';

/** Time in which a close reaches the other end. */
const CLOSE_MS = 10;
/** Time in which a call ends after its connection closed. */
const END_MS = 500;
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked';
/** Heads after whose answers the library closes the connection. */
const CLOSING_HEADS = [
  CHUNKED.replace('1.1', '1.0'),
  `${CHUNKED}\r\nProxy-Connection: close`,
  `${CHUNKED}\r\nConnection: close`,
  'HTTP/1.0 200 OK',
  'HTTP/1.1 200 OK\r\nConnection: keep-alive',
  'HTTP/1.0 200 OK\r\nContent-Length: 3',
  'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\nConnection: keep-alive',
];
const CLOSES = {
  reset: (socket: Socket) => void socket.resetAndDestroy(),
  halfClose: (socket: Socket) => void socket.end(),
  close: (socket: Socket) => void socket.destroy(),
};
/** Where an answer is paused, and its data; without data nothing is left to read. */
const PAUSES = [
  ['head', ''],
  ['head', 'one'],
  ['data', 'one'],
] as const;

// Guards against a target that is read on although its caller does not read.
test('a paused answer is not read until it is resumed, and then arrives in order', async () => {
  const paused = await openPaused(CHUNKED, '3\r\none\r\n');
  const { target, open, received } = paused;
  assert.is(paused.isPaused(), true);
  const chunk = Buffer.alloc(64 * 1024, 'x').toString();
  const socket = target.sockets[0] as Socket;
  for (let index = 0; index < 400; index += 1) {
    socket.write(`10000\r\n${chunk}\r\n`);
  }
  socket.write('3\r\ntwo\r\n0\r\n\r\n');
  await new Promise((resolve) => setTimeout(resolve, 100));
  assert.equal(received, []);
  assert.ok(socket.writableLength > 0);
  open.resume();
  assert.is(await paused.finished, 'ended');
  const text = received.join('');
  assert.is(text.length, 6 + 400 * chunk.length);
  assert.ok(text.startsWith('onex') && text.endsWith('xtwo'));
  paused.connections.closeAll();
  await target.stop();
});

// Guards against a process that ends because the library meets the close of a paused connection.
test('an answer that is paused when its connection closes ends its call once, and not the process', async () => {
  const uncaught = collectUncaught();
  for (const head of CLOSING_HEADS) {
    for (const [how, close] of Object.entries(CLOSES)) {
      for (const [pauseAt, data] of PAUSES) {
        const isChunked = head.includes('chunked');
        const paused = await openPaused(head, isChunked && data ? '3\r\none\r\n' : data, pauseAt);
        const { open, target } = paused;
        const name = `${how} after ${pauseAt} of ${head}, ${data.length} B`;
        assert.is(paused.isPaused(), true, name);
        close(target.sockets[0] as Socket);
        await sleep(CLOSE_MS);
        open.resume();
        const isWhole = !isChunked && (data !== '' || !head.includes('Length'));
        const expected = how !== 'reset' && isWhole ? 'ended' : 'broken';
        assert.is(await Promise.race([paused.finished, sleep(END_MS, 'none')]), expected, name);
        await sleep(CLOSE_MS);
        assert.is(paused.ends(), 1, name);
        paused.connections.closeAll();
        await target.stop();
      }
    }
  }
  assert.equal(uncaught.exceptions, []);
  uncaught.stop();
});

// Guards against an end that the library meets at the data behind which reading has just paused.
test('an end that is known before the last data is read waits until the answer is resumed', async () => {
  const uncaught = collectUncaught();
  for (const head of ['HTTP/1.0 200 OK', 'HTTP/1.0 200 OK\r\nContent-Length: 3']) {
    const paused = await openPaused(head, 'one', 'both', (socket) => socket.end());
    await sleep(CLOSE_MS);
    paused.open.resume();
    await sleep(CLOSE_MS);
    assert.equal(paused.received, ['one']);
    assert.is(paused.ends(), 0);
    paused.open.resume();
    assert.is(await Promise.race([paused.finished, sleep(END_MS, 'none')]), 'ended', head);
    assert.equal(paused.received, ['one']);
    await paused.target.stop();
  }
  assert.equal(uncaught.exceptions, []);
  uncaught.stop();
});

// Guards against a lost target that goes unnoticed, or ends the process, while it is paused.
test('a paused answer reports the reset of its connection, and nothing after it is cancelled', async () => {
  for (const head of [CHUNKED, 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: keep-alive']) {
    const reset = await openPaused(head, head === CHUNKED ? '3\r\none\r\n' : 'one');
    assert.is(reset.isPaused(), true);
    reset.target.sockets[0]?.resetAndDestroy();
    reset.open.resume();
    assert.is(await reset.finished, 'broken');
    reset.open.resume();
    assert.is(reset.open.pause(), false);
    await reset.target.stop();
  }
  const cancelled = await openPaused(CHUNKED, '3\r\none\r\n');
  cancelled.open.cancel();
  cancelled.open.resume();
  assert.is(cancelled.open.pause(), false);
  await cancelled.target.stop();
  assert.equal(cancelled.received, []);
});

test.run();
