import { SeededDraws } from '@limelead/stand-ins';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import TestBed, { ANSWERED, GOOD, head } from './test-bed.fixture.js';

const SEED = Number(process.env['FUZZ_SEED'] ?? 1);
const CONNECTIONS = Number(process.env['FUZZ_CASES'] ?? 600);
const LANES = 12;
const MAX_PIECES = 4;
const MAX_DELAY_MS = 4;
/** Time in which the VM ends the requests of connections that have closed. */
const SETTLE_MS = 1_000;
const ODD_SHARE = 0.3;
const ENDINGS = {
  reset: (socket: Socket) => void socket.resetAndDestroy(),
  halfClose: (socket: Socket) => void socket.end(),
  close: (socket: Socket) => void socket.destroy(),
};
const ODD_REQUESTS = [
  ...['\r\n\r\n', '\0', 'GET', 'GET / HTTP/1.1\r\n\r\n', 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'],
  ...[head(['Content-Length: -1']), head(['Content-Length: 2', 'Content-Length: 3']) + '\r\nhi'],
  ...[head(['Content-Length: 9']) + '\r\nhi', head(['Content-Length: 5000']) + '\r\nhi'],
  ...[head(['Transfer-Encoding: chunked']) + '\r\nffffffffffffffffff\r\nhi\r\n'],
  ...[head(['Transfer-Encoding: chunked']) + '\r\n2;x=y\r\nhi\r\n0\r\nLast: 1\r\n\r\n'],
  ...[head(['Transfer-Encoding: chunked', 'Content-Length: 2']) + '\r\n2\r\nhi\r\n0\r\n\r\n'],
  ...[head(['Expect: 100-continue', 'Content-Length: 2']) + '\r\nhi', head(['Expect: x']) + '\r\n'],
  ...[head(['Connection: upgrade', 'Upgrade: h2c', 'Content-Length: 2']) + '\r\nhi'],
  ...['CONNECT vans.example:80 HTTP/1.1\r\nHost: vans.example\r\n\r\nhi', `${GOOD}x`],
  ...[GOOD.replace('1.1', '1.0'), GOOD.replace('1.1', '3.7'), head([`X: ${'x'.repeat(70_000)}`])],
  ...[GOOD.replace('/call/1', '//%zz/../\x7f'), GOOD.replace('Host: vans.example\r\n', '')],
];

/** Bytes of a caller in the pieces that it writes, and how it closes its connection. */
function planCaller(draws: SeededDraws) {
  const requests = Array.from({ length: 1 + draws.below(3) }, () =>
    draws.isWithin(ODD_SHARE) ? draws.pick(ODD_REQUESTS) : GOOD,
  );
  const whole = requests.join('');
  const text = draws.isWithin(ODD_SHARE) ? whole.slice(0, draws.below(whole.length)) : whole;
  const bounds = Array.from({ length: draws.below(MAX_PIECES) }, () => draws.below(text.length));
  bounds.sort((a, b) => a - b);
  return {
    pieces: [...bounds, text.length].map((end, index) => text.slice(bounds[index - 1] ?? 0, end)),
    delaysMs: Array.from({ length: MAX_PIECES + 1 }, () => draws.below(MAX_DELAY_MS)),
    reads: !draws.isWithin(ODD_SHARE),
    close: ENDINGS[draws.pick(['reset', 'halfClose', 'close'] as const)],
  };
}

async function playCaller(port: number, number: number): Promise<void> {
  const draws = new SeededDraws(SEED * 1_000_003 + number);
  const { pieces, delaysMs, reads, close } = planCaller(draws);
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.on('error', () => undefined);
  if (reads) {
    socket.resume();
  }
  for (const [index, piece] of pieces.entries()) {
    if (socket.writable) {
      socket.write(Buffer.from(piece, 'latin1'));
    }
    await sleep(delaysMs[index] ?? 0);
  }
  close(socket);
  await Promise.race([closed, sleep(delaysMs.at(-1) ?? 0)]);
  socket.destroy();
}

// Guards against bytes of a caller that end the process or touch another call.
test('no bytes or close of a caller end the process, another call, or leave a request open', async () => {
  const exceptions: Error[] = [];
  const collect = (error: Error): void => void exceptions.push(error);
  process.on('uncaughtException', collect);
  const bed = await TestBed.start();
  const unanswered: string[] = [];
  let next = 0;
  const runLane = async (): Promise<void> => {
    while (next < CONNECTIONS) {
      const number = next++;
      const [answer] = await Promise.all([
        bed.exchange(GOOD, ANSWERED),
        playCaller(bed.door.port, number),
      ]);
      if (!ANSWERED.test(answer)) {
        unanswered.push(`${number}: ${answer}`);
      }
    }
  };
  await Promise.all(Array.from({ length: LANES }, runLane));
  const untilMs = performance.now() + SETTLE_MS;
  while (bed.door.openRequests > 0 && performance.now() < untilMs) {
    await sleep(10);
  }
  const { openRequests, bufferedBodyBytes } = bed.door;
  await bed.stop();
  process.off('uncaughtException', collect);
  assert.equal(exceptions, []);
  assert.equal(unanswered, []);
  assert.is(openRequests, 0);
  assert.is(bufferedBodyBytes, 0);
});

test.run();
