import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createConnections, send, startTarget } from './target.fixture.js';

const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

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

test.run();
