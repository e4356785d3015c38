import type { PortFault } from '@limelead/errors';
import type { ServiceTarget } from '@limelead/types';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TargetConnections, type AnswerHead, type OpenCall } from './index.js';

const clock = { now: () => performance.now() };
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

interface Outcome {
  head?: AnswerHead;
  body: string;
  fault?: PortFault;
}

/** Starts a TCP server as target; `answer` is called for each request, with its number. */
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

test('a connection is reused within the maximum idle time only', async () => {
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

test('a request is not sent again after a reset, since the target may have received it', async () => {
  const target = await startTarget((socket) => socket.resetAndDestroy());
  const connections = createConnections();
  const { fault } = await send(connections, target.target);
  assert.is(fault?.sent, 'maybe');
  assert.is(target.requests(), 1);
  connections.closeAll();
  await target.stop();
});

test('a failed connect is reported as not sent', async () => {
  const target = await startTarget(() => undefined);
  await target.stop();
  const connections = createConnections();
  const { fault } = await send(connections, target.target);
  assert.is(fault?.sent, 'no');
  assert.is(connections.countConnections('t1'), 0);
});

test('a truncated answer is a fault, with a length or chunks', async () => {
  const truncated = [
    'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
  ];
  for (const bytes of truncated) {
    const target = await startTarget((socket) => socket.end(bytes));
    const connections = createConnections();
    const outcome = await send(connections, target.target);
    assert.ok(outcome.fault !== undefined);
    connections.closeAll();
    await target.stop();
  }
});

test('an answer without a length is complete when its connection closes, not when it is reset', async () => {
  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it';
  const closing = await startTarget((socket) => socket.end(head));
  const connections = createConnections();
  const complete = await send(connections, closing.target);
  assert.is(complete.fault, undefined);
  assert.is(complete.body, 'all of it');
  await closing.stop();
  const resetting = await startTarget((socket) => socket.write(head));
  const other = createConnections();
  const reset = (): void => void resetting.sockets[0]?.resetAndDestroy();
  const broken = await send(other, resetting.target, 0, reset);
  assert.ok(broken.fault !== undefined);
  other.closeAll();
  await resetting.stop();
});

test('a reset that arrives together with the last bytes is a fault', async () => {
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

test('bytes after an answer close the connection and do not reach the next request', async () => {
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

test('a cancelled call closes its connection and emits no further event', async () => {
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

/** Sends a call whose answer is paused at its head. Resolves when the target has written it. */
async function openPaused(head: string, chunk: string) {
  const target = await startTarget((socket) => socket.write(`${head}\r\n\r\n${chunk}`));
  const connections = createConnections();
  let onHead = (): void => undefined;
  const received: string[] = [];
  const opened = new Promise<void>((resolve) => (onHead = resolve));
  let isPaused = false;
  let finish = (_: string): void => undefined;
  const finished = new Promise<string>((resolve) => (finish = resolve));
  const call = { method: 'POST', path: '/a/1', headers: ['Host', 'x'], body: Buffer.from('in') };
  const open: OpenCall = connections.send(
    target.target,
    call,
    { maxIdleMs: 0 },
    {
      onHead: () => {
        isPaused = open.pause();
        onHead();
      },
      onData: (data) => received.push(data.toString()),
      onEnd: () => finish('ended'),
      onFault: ({ reason }) => finish(reason),
    },
  );
  await opened;
  return { target, connections, open, received, finished, isPaused: () => isPaused };
}

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked';

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
test('an answer whose connection closes at its end is not paused', async () => {
  const heads = [
    `${CHUNKED}\r\nConnection: close`,
    'HTTP/1.1 200 OK\r\nConnection: keep-alive',
    'HTTP/1.1 200 OK\r\nContent-Length: 3',
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\nConnection: keep-alive',
  ];
  for (const head of heads) {
    const paused = await openPaused(head, head.includes('Length') ? 'one' : '3\r\none\r\n');
    assert.is(paused.isPaused(), false, head);
    paused.target.sockets[0]?.resetAndDestroy();
    await paused.finished;
    paused.connections.closeAll();
    await paused.target.stop();
  }
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
