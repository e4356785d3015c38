/** Guards against HTTP libraries that silently retry requests. */
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createHttpTransport from './http-transport.js';
import createHttpPlainService from './plain-service.js';

const CALL = {
  requestId: 'booking-1',
  operation: 'book-room',
  body: Buffer.from('x'),
  timeoutMs: 500,
};

interface CountingServer {
  port: number;
  requests(): number;
  close(): Promise<void>;
}

/** Starts a server that counts requests and passes each to `answer`. */
async function startCountingServer(
  answer: (socket: Socket, request: number) => void,
): Promise<CountingServer> {
  let requests = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const begun = data.toString('latin1').split('POST /').length - 1;
      for (let index = 0; index < begun; index += 1) {
        requests += 1;
        answer(socket, requests);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    requests: () => requests,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

const OK = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\nok';

async function callOnce(port: number) {
  const transport = createHttpTransport();
  const service = createHttpPlainService(transport, '127.0.0.1', port, 'booking');
  const outcome = await service.call(CALL)();
  await transport.close();
  return outcome;
}

test('a connection reset after the request arrived: sent once, reported as maybe sent', async () => {
  const server = await startCountingServer((socket) => socket.resetAndDestroy());
  const outcome = await callOnce(server.port);
  assert.ok(E.isLeft(outcome) && outcome.left.sent === 'maybe');
  assert.is(server.requests(), 1);
  await server.close();
});

test('a service that never responds: sent once, reported as maybe sent', async () => {
  const server = await startCountingServer(() => undefined);
  const outcome = await callOnce(server.port);
  assert.ok(E.isLeft(outcome) && outcome.left.sent === 'maybe');
  assert.is(server.requests(), 1);
  await server.close();
});

test('a truncated response: sent once, reported as maybe sent', async () => {
  const server = await startCountingServer((socket) => {
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf');
  });
  const outcome = await callOnce(server.port);
  assert.ok(E.isLeft(outcome) && outcome.left.sent === 'maybe');
  assert.is(server.requests(), 1);
  await server.close();
});

test('a reused connection reset during the second request: that request is sent once', async () => {
  const server = await startCountingServer((socket, request) =>
    request === 1 ? socket.write(OK) : socket.resetAndDestroy(),
  );
  const transport = createHttpTransport();
  const service = createHttpPlainService(transport, '127.0.0.1', server.port, 'booking');
  assert.ok(E.isRight(await service.call(CALL)()));
  const second = await service.call(CALL)();
  assert.ok(E.isLeft(second) && second.left.sent === 'maybe');
  assert.is(server.requests(), 2);
  await transport.close();
  await server.close();
});

test('a refused connection: reported as not sent', async () => {
  const server = await startCountingServer(() => undefined);
  await server.close();
  const outcome = await callOnce(server.port);
  assert.ok(E.isLeft(outcome) && outcome.left.sent === 'no');
});

test.run();
