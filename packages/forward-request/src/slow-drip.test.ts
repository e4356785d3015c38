/** Guards against targets that answer a byte at a time without end, and hold requests behind their deadlines. */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardCall from './forward-call.js';
import forwardStream from './forward-stream.js';
import {
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  TestBed,
} from './forwarding.fixture.js';

const DRIP_INTERVAL_MS = 10;
const TIMEOUT_MS = 300;
/** Time for which an end may be late on a busy machine; without an end it never comes. */
const MAX_LATE_MS = 700;
/** Time in which the close of a connection reaches the target. */
const CLOSE_MS = 50;

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nstamp: whole\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const PIECE = formatPiece(1);
const CHUNKS = `${CHUNKED}${PIECE.length.toString(16)}\r\n${PIECE}\r\n`;

/** Beginnings of answers, and what follows byte by byte, again and again. */
const DRIPS: Readonly<Record<string, [string, string]>> = {
  'of no answer': ['', 'H'],
  'interim answers': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'in the status line': ['HTTP/1.1 200 ', 'O'],
  'in a header': [`${HEAD}X-Pad: `, 'y'],
  'in the size of a chunk': [`${CHUNKED}1;x=`, 'x'],
  'in a body of chunks': [CHUNKS, '1\r\nx\r\n'],
  'in a body with a length': [`${HEAD}Content-Length: 90000\r\n\r\n${PIECE}`, 'x'],
  'in a body without a length': [`${HEAD}\r\n${PIECE}`, 'x'],
  'in a failure': [`${HEAD.replace('200', '500')}Content-Length: 90000\r\n\r\n`, 'x'],
  'in the trailers': [`${CHUNKS}0\r\nX-Pad: `, 'y'],
  'behind an answer': [`${HEAD}Content-Length: ${PIECE.length}\r\n\r\n${PIECE}`, 'x'],
};

function drip(socket: Socket, beginning: string, more: string): void {
  socket.on('error', () => undefined);
  socket.write(beginning);
  let at = 0;
  const timer = setInterval(() => socket.write(more[at++ % more.length] ?? ''), DRIP_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
}

for (const [place, [beginning, more]] of Object.entries(DRIPS)) {
  for (const [kind, forward] of Object.entries({ call: forwardCall, stream: forwardStream })) {
    test(`a ${kind} ends at its deadline, and holds nothing: a drip ${place}`, async () => {
      const sockets: Socket[] = [];
      const bed = await TestBed.start((_, response) => {
        const socket = response.socket as Socket;
        sockets.push(socket);
        drip(socket, beginning, more);
      });
      const sink = new RecordingSink();
      const streaming = kind === 'stream';
      const route = { streaming, repeatable: streaming, maxTargets: 1, timeoutMs: TIMEOUT_MS };
      const admitted = createAdmittedRequest(route, {
        deadlineAtMs: performance.now() + TIMEOUT_MS,
      });
      forward(bed.context, admitted, sink);
      const isOver = await Promise.race([
        sink.done.then(() => true),
        sleep(TIMEOUT_MS + MAX_LATE_MS, false),
      ]);
      await sleep(CLOSE_MS);
      const openSockets = sockets.filter((socket) => !socket.destroyed).length;
      const { inFlight } = bed.directory.get('t1') ?? {};
      await bed.stop();
      assert.ok(isOver, 'no end');
      assert.is(sink.heldBytes, 0);
      assert.is(openSockets, 0);
      assert.is(inFlight, 0);
    });
  }
}

test.run();
