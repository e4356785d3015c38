import { SeededDraws } from '@limelead/stand-ins';
import { backgroundTimers } from '@limelead/types';
import { createHash } from 'node:crypto';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createPeerLinks, peerMessageFormat, type PeerMessage } from './index.js';
import { createHello } from './handshake.js';
import { encodeHandshake } from './messages.js';

const SEED = Number(process.env['FUZZ_SEED'] ?? 1);
const CONNECTIONS = Number(process.env['FUZZ_CASES'] ?? 400);
const LANES = 12;
const MAX_DELAY_MS = 15;
const SETTLE_MS = 50;
const HOST = '127.0.0.1';
const SECRET = 'a-secret-of-all-vms';
const ACCEPT_SUFFIX = '258EAFA5-E914-47DA-95CA-C5AB0DC85B11';
const UPGRADE =
  'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n' +
  'Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n';

/** Draws of one connection. */
class Draws extends SeededDraws {
  /** Whether the VM answered with its own `hello`. */
  hasHello = false;

  /** Frames of a peer, right and wrong; `mask` as an opener sends them. */
  frames(isMasked: boolean): Buffer {
    const hello = Buffer.from(encodeHandshake(createHello('vm-x', 'vm-x.1')));
    const payload = (): Buffer =>
      this.pick([
        ...[hello, hello, Buffer.from(encodeHandshake({ kind: 'proof', mac: 'x'.repeat(64) }))],
        ...[Buffer.alloc(0), Buffer.from('text'), Buffer.alloc(300, 0x81), hello.subarray(0, 9)],
      ]);
    const count = 1 + this.below(3);
    return Buffer.concat(Array.from({ length: count }, () => this.frame(payload(), isMasked)));
  }

  /** Writes bytes in pieces, some of them cut, then ends the connection. */
  async play(socket: Socket, bytes: Buffer): Promise<void> {
    socket.on('data', (data) => (this.hasHello ||= data.includes('vm-a')));
    const kept = this.below(3) === 0 ? bytes.subarray(0, this.below(bytes.length)) : bytes;
    const middle = this.below(kept.length + 1);
    for (const piece of [kept.subarray(0, middle), kept.subarray(middle)]) {
      if (socket.writable) {
        socket.write(piece);
      }
      await sleep(this.below(MAX_DELAY_MS));
    }
    this.pick([
      () => void socket.resetAndDestroy(),
      () => void socket.end(),
      () => void socket.destroy(),
    ])();
    await sleep(this.below(MAX_DELAY_MS));
    socket.destroy();
  }

  private frame(payload: Buffer, isMasked: boolean): Buffer {
    const first = this.pick([
      0x82, 0x82, 0x82, 0x82, 0x02, 0x80, 0x81, 0x88, 0x89, 0x8a, 0xff, 0x83,
    ]);
    const lengths = [payload.length, payload.length, payload.length, 5, 127];
    const length = Math.min(this.pick(lengths), 127);
    const isLong = payload.length > 125 || length > 125;
    const size = Buffer.alloc(2);
    size.writeUInt16BE(payload.length);
    const mask = isMasked ? 0x80 : 0;
    const head = isLong ? [first, mask | this.pick([126, 127]), ...size] : [first, mask | length];
    return Buffer.concat([Buffer.from(head), Buffer.alloc(isMasked ? 4 : 0), payload]);
  }
}

function createVm(id: string, onMessage: (message: PeerMessage) => void = () => undefined) {
  return createPeerLinks<PeerMessage>({
    ...{ id, incarnation: `${id}.1`, secret: SECRET, host: HOST, port: 0 },
    ...{ timers: backgroundTimers, format: peerMessageFormat },
    onReady: () => undefined,
    onMessage: (_, message) => onMessage(message),
    onLinkLost: () => undefined,
    onMessageDropped: () => undefined,
  });
}

/** Accepts one connection, answers its upgrade and plays frames. */
async function acceptFaulty(draws: Draws, open: (port: number) => void): Promise<void> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const played = new Promise<void>((resolve) => {
    server.on('connection', (socket) => {
      socket.on('error', () => undefined);
      socket.once('data', (data) => {
        const key = /sec-websocket-key: (.*)\r/i.exec(data.toString('latin1'))?.[1] ?? '';
        const accept = createHash('sha1')
          .update(key + ACCEPT_SUFFIX)
          .digest('base64');
        const status = draws.pick(['101 Switching', '101 Switching', '200 OK', '302 Found', 'x']);
        const head =
          `HTTP/1.1 ${status}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n` +
          `Sec-WebSocket-Accept: ${draws.pick([accept, accept, accept, 'x'])}\r\n\r\n`;
        const bytes = Buffer.concat([Buffer.from(head), draws.frames(false)]);
        void draws.play(socket, bytes).then(resolve);
      });
    });
  });
  open((server.address() as AddressInfo).port);
  await played;
  await new Promise((resolve) => server.close(resolve));
}

// Guards against bytes of a peer that end the process or touch another link.
test('no bytes or close of a peer end the process or another link', async () => {
  const exceptions: Error[] = [];
  const collect = (error: Error): void => void exceptions.push(error);
  process.on('uncaughtException', collect);
  const received: PeerMessage[] = [];
  const vm = await createVm('vm-a', (message) => received.push(message));
  const other = await createVm('vm-b');
  other.open([{ id: 'vm-a', host: HOST, port: vm.port }]);
  let next = 0;
  let greeted = 0;
  const runLane = async (): Promise<void> => {
    while (next < CONNECTIONS) {
      const number = next++;
      const draws = new Draws(SEED * 1_000_003 + number);
      if (number % 2 === 0) {
        await acceptFaulty(draws, (port) => vm.open([{ id: `vm-${number}`, host: HOST, port }]));
        greeted += Number(draws.hasHello);
        continue;
      }
      const socket = connect(vm.port, HOST);
      socket.on('error', () => undefined);
      const start = draws.pick([
        UPGRADE,
        UPGRADE,
        UPGRADE,
        UPGRADE.replace('13', '99'),
        'x\r\n\r\n',
      ]);
      await draws.play(socket, Buffer.concat([Buffer.from(start), draws.frames(true)]));
      greeted += Number(draws.hasHello);
    }
  };
  await Promise.all(Array.from({ length: LANES }, runLane));
  assert.ok(other.send('vm-a', { kind: 'want-list' }));
  await sleep(SETTLE_MS);
  const linked = vm.listLinked();
  await other.close();
  await vm.close();
  process.off('uncaughtException', collect);
  assert.equal(exceptions, []);
  assert.ok(greeted > 0, 'no peer got as far as a hello');
  assert.equal(received, [{ kind: 'want-list' }]);
  assert.equal(linked, ['vm-b']);
});

test.run();
