/** Guards against what listens at the address of a peer and answers without end: it was read for seconds. */
import { backgroundTimers } from '@limelead/types';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createPeerLinks, peerMessageFormat } from './index.js';

const OBSERVED_MS = 500;
const MAX_SENT_BYTES = 5e6;
const FILLING = Buffer.alloc(16_384, 'A');
const OK = 'HTTP/1.1 200 OK\r\n';

/** Beginnings of answers, and what follows without end. */
const ANSWERS: Readonly<Record<string, [string, Buffer]>> = {
  'a reason phrase': ['HTTP/1.1 101 ', FILLING],
  'interim answers': ['', Buffer.from('HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n'.repeat(300))],
  'a body': [`${OK}Content-Length: 900000000000\r\n\r\n`, FILLING],
  'no status line': ['', FILLING],
};

for (const [name, [beginning, more]] of Object.entries(ANSWERS)) {
  test(`a link to what answers without end is closed: ${name}`, async () => {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(beginning);
        const writeMore = (): void => {
          while (!socket.destroyed && socket.write(more));
        };
        socket.on('drain', () => setImmediate(writeMore));
        writeMore();
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const links = await createPeerLinks({
      ...{ id: 'vm-a', incarnation: 'vm-a.1', secret: 'a-secret-of-all-vms', host: '127.0.0.1' },
      ...{ port: 0, timers: backgroundTimers, format: peerMessageFormat },
      ...{ onReady: () => undefined, onMessage: () => undefined },
      ...{ onLinkLost: () => undefined, onMessageDropped: () => undefined },
    });
    links.open([{ id: 'vm-b', host: '127.0.0.1', port: (server.address() as AddressInfo).port }]);
    await sleep(OBSERVED_MS);
    const sentBytes = sockets.reduce((bytes, socket) => bytes + socket.bytesWritten, 0);
    const openSockets = sockets.filter((socket) => !socket.destroyed).length;
    sockets.forEach((socket) => socket.destroy());
    await links.close();
    await new Promise<void>((resolve) => server.close(() => resolve()));
    assert.is(sockets.length, 1);
    assert.ok(sentBytes < MAX_SENT_BYTES, `${sentBytes} bytes`);
    assert.is(openSockets, 0);
  });
}

test.run();
