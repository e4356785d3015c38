import type { PortFault } from '@limelead/errors';
import type { ServiceTarget } from '@limelead/types';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TargetConnections, type AnswerHead } from './index.js';

const clock = { now: () => performance.now() };
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

interface Outcome {
  head?: AnswerHead;
  body: string;
  fault?: PortFault;
}

/** A raw target: `answer` is called for each request that arrived, with its number. */
async function startTarget(answer: (socket: Socket, request: number) => void) {
  let requests = 0;
  const sockets: Socket[] = [];
  const server: Server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket, ++requests));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const target: ServiceTarget = {
    id: 't1',
    service: 'briefs',
    host: '127.0.0.1',
    port: (server.address() as AddressInfo).port,
    failureDomain: 'north',
    slots: 4,
    leaving: false,
  };
  return {
    target,
    sockets,
    requests: () => requests,
    stop: () => {
      sockets.forEach((socket) => socket.destroy());
      return new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

function createConnections(): TargetConnections {
  return new TargetConnections({ clock, connectTimeoutMs: 300, maxIdlePerTarget: 4 });
}

function send(
  connections: TargetConnections,
  target: ServiceTarget,
  maxIdleMs = 1_000,
  onData: () => void = () => undefined,
): Promise<Outcome> {
  return new Promise((resolve) => {
    const outcome: Outcome = { body: '' };
    const call = { method: 'POST', path: '/a/1', headers: ['Host', 'x'], body: Buffer.from('in') };
    connections.send(
      target,
      call,
      { maxIdleMs },
      {
        onHead: (head) => (outcome.head = head),
        onData: (chunk) => {
          outcome.body += chunk.toString();
          onData();
        },
        onEnd: () => resolve(outcome),
        onFault: (fault) => resolve({ ...outcome, fault }),
      },
    );
  });
}

test('a connection that rested a moment is used again, one that rested too long is not', async () => {
  const target = await startTarget((socket) => socket.write(ANSWER));
  const connections = createConnections();
  assert.is((await send(connections, target.target)).body, 'ok');
  await send(connections, target.target);
  assert.is(target.sockets.length, 1);
  await send(connections, target.target, 0);
  assert.is(target.sockets.length, 2);
  connections.closeAll();
  await target.stop();
});

test('a reset after the request was written may have run, and is never sent again', async () => {
  const target = await startTarget((socket) => socket.resetAndDestroy());
  const connections = createConnections();
  const { fault } = await send(connections, target.target);
  assert.is(fault?.sent, 'maybe');
  assert.is(target.requests(), 1);
  connections.closeAll();
  await target.stop();
});

test('where no connection comes up, nothing was sent', async () => {
  const target = await startTarget(() => undefined);
  await target.stop();
  const connections = createConnections();
  const { fault } = await send(connections, target.target);
  assert.is(fault?.sent, 'no');
  assert.is(connections.countConnections('t1'), 0);
});

test('an answer that is cut short is a fault, whether it has a length or chunks', async () => {
  const cut = [
    'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
  ];
  for (const bytes of cut) {
    const target = await startTarget((socket) => socket.end(bytes));
    const connections = createConnections();
    const outcome = await send(connections, target.target);
    assert.ok(outcome.fault !== undefined);
    connections.closeAll();
    await target.stop();
  }
});

test('an answer without a length is whole when its connection closes, and not when it is reset', async () => {
  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it';
  const closing = await startTarget((socket) => socket.end(head));
  const connections = createConnections();
  const whole = await send(connections, closing.target);
  assert.is(whole.fault, undefined);
  assert.is(whole.body, 'all of it');
  await closing.stop();
  const resetting = await startTarget((socket) => socket.write(head));
  const other = createConnections();
  const reset = (): void => void resetting.sockets[0]?.resetAndDestroy();
  const broken = await send(other, resetting.target, 0, reset);
  assert.ok(broken.fault !== undefined);
  other.closeAll();
  await resetting.stop();
});

test('a reset that arrives together with the last bytes is no end of an answer', async () => {
  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of';
  const target = await startTarget((socket) => {
    socket.write(head, () => setImmediate(() => socket.resetAndDestroy()));
  });
  const connections = createConnections();
  const outcome = await send(connections, target.target, 0);
  assert.ok(outcome.fault !== undefined);
  connections.closeAll();
  await target.stop();
});

test('bytes behind an answer end the connection; they never reach the next request', async () => {
  const target = await startTarget((socket, request) =>
    socket.write(request === 1 ? ANSWER + ANSWER.replace('ok', 'no') : ANSWER),
  );
  const connections = createConnections();
  await send(connections, target.target);
  const second = await send(connections, target.target);
  assert.is(second.fault, undefined);
  assert.is(second.body, 'ok');
  assert.is(target.sockets.length, 2);
  connections.closeAll();
  await target.stop();
});

test('a cancelled call ends its connection, and no event follows', async () => {
  let onRequest = (): void => undefined;
  const arrived = new Promise<void>((resolve) => (onRequest = resolve));
  const target = await startTarget(() => onRequest());
  const connections = createConnections();
  const call = { method: 'GET', path: '/a/1', headers: [], body: Buffer.alloc(0) };
  const unexpected = (): void => assert.unreachable('an event after the cancel');
  const open = connections.send(
    target.target,
    call,
    { maxIdleMs: 0 },
    {
      onHead: unexpected,
      onData: unexpected,
      onEnd: unexpected,
      onFault: unexpected,
    },
  );
  await arrived;
  const closed = new Promise((resolve) => target.sockets[0]?.once('close', resolve));
  open.cancel();
  await closed;
  assert.is(connections.countConnections('t1'), 0);
  await target.stop();
});

test.run();
