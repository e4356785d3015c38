/** Guards against bodies without end: one of them, read as fast as it came, took a whole VM until its deadline. */
import type { Clock, Timers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { BURST_BYTES, BURST_REFILL_MS, TURN_BYTES, TURNS_BYTES_PER_MS } from './read-share.js';
import { createConnections, startTarget } from './target.fixture.js';

/** Time in which a target that is read would send far more than a burst. */
const SENDING_MS = 150;
/** A read may exceed what is left of a burst. */
const MAX_READ_BYTES = 64 * 1_024;
const TURNS = 5;
const FILLING = Buffer.alloc(16_384, 'A');
const CHUNK = Buffer.concat([Buffer.from('4000\r\n'), FILLING, Buffer.from('\r\n')]);

/** Heads, and what follows without end. */
const ANSWERS: Readonly<Record<string, [string, Buffer]>> = {
  'a length': ['Content-Length: 900000000000\r\n', FILLING],
  chunks: ['Transfer-Encoding: chunked\r\n', CHUNK],
  'the end of the connection': ['', FILLING],
};

/** Time that passes only from one timer to the next. */
class HeldTime implements Clock, Timers {
  nowMs = 0;
  waits: { atMs: number; run: () => void }[] = [];

  now(): number {
    return this.nowMs;
  }

  after(milliseconds: number, run: () => void): () => void {
    const wait = { atMs: this.nowMs + milliseconds, run };
    this.waits.push(wait);
    return () => (this.waits = this.waits.filter((other) => other !== wait));
  }

  advance(): void {
    const [first] = this.waits.splice(0, 1);
    this.nowMs = first?.atMs ?? this.nowMs;
    first?.run();
  }
}

for (const [name, [header, more]] of Object.entries(ANSWERS)) {
  test(`an endless body is read in turns beyond a burst: ${name}`, async () => {
    const target = await startTarget((socket: Socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n`);
      const writeMore = (): void => {
        while (!socket.destroyed && socket.write(more));
      };
      socket.on('drain', () => setImmediate(writeMore));
      writeMore();
    });
    const time = new HeldTime();
    const connections = createConnections(time, time);
    let bytes = 0;
    const open = connections.send(
      target.target,
      { method: 'GET', path: '/', headers: ['Host', 'x'], body: Buffer.alloc(0) },
      { maxIdleMs: 0 },
      {
        onHead: () => undefined,
        onData: (chunk) => (bytes += chunk.length),
        onEnd: () => undefined,
        onFault: () => undefined,
      },
    );
    await sleep(SENDING_MS);
    const atOnce = bytes;
    for (let turn = 0; turn < TURNS; turn += 1) {
      time.advance();
      await sleep(SENDING_MS / TURNS);
    }
    const inTurns = bytes - atOnce;
    open.cancel();
    connections.closeAll();
    await target.stop();
    assert.ok(atOnce > BURST_BYTES / 2 && atOnce < BURST_BYTES + MAX_READ_BYTES, `${atOnce} bytes`);
    assert.ok(inTurns >= TURN_BYTES, `${inTurns} bytes`);
    const allowedBytes = time.nowMs * (TURNS_BYTES_PER_MS + BURST_BYTES / BURST_REFILL_MS);
    assert.ok(inTurns <= allowedBytes + MAX_READ_BYTES, `${inTurns} bytes in ${time.nowMs} ms`);
    assert.equal(time.waits, []);
  });
}

test.run();
