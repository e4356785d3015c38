import { spawn, type ChildProcess } from 'node:child_process';
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { backgroundTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import connectWithTimeout from './connect-with-timeout.js';

/** A process that listens, prints its port and never accepts a connection from its queue. */
const UNRESPONSIVE_PEER = `
  const server = require('net').createServer();
  server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
    require('fs').writeSync(1, String(server.address().port));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });`;
/** Number of connections that fill that queue. */
const QUEUE_LENGTH = 2;
/** Longer than the connect timeout. */
const BUSY_MS = 400;

async function startUnresponsivePeer(): Promise<{ port: number; process: ChildProcess }> {
  const process = spawn(globalThis.process.execPath, ['-e', UNRESPONSIVE_PEER]);
  const port = await new Promise<string>((resolve) => process.stdout.once('data', resolve));
  return { port: Number(port), process };
}

function connect(port: number): Promise<Socket> {
  const socket = createConnection({ host: '127.0.0.1', port });
  return new Promise((resolve) => socket.once('connect', () => resolve(socket)));
}

/**
 * Guards against a start at which first packets are lost, since the operating system retransmits
 * them only after a second.
 */
test('a connection attempt whose first packet is lost fails before the operating system retransmits it', async () => {
  const peer = await startUnresponsivePeer();
  const queued = await Promise.all(Array.from({ length: QUEUE_LENGTH }, () => connect(peer.port)));
  const startedAtMs = performance.now();
  const socket = connectWithTimeout({ host: '127.0.0.1', port: peer.port }, backgroundTimers);
  const error = await new Promise<Error>((resolve) => socket.once('error', resolve));
  assert.match(error.message, 'connection to the peer timed out');
  assert.ok(performance.now() - startedAtMs < 900);
  queued.forEach((other) => other.destroy());
  peer.process.kill();
});

test('an established connection stays open', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  let isCancelled = false;
  const timers = { after: () => () => (isCancelled = true) };
  const socket = connectWithTimeout({ host: '127.0.0.1', port }, timers);
  await new Promise((resolve) => socket.once('connect', resolve));
  assert.ok(isCancelled);
  socket.destroy();
  await new Promise((resolve) => server.close(resolve));
});

test('a VM whose event loop was blocked past the timeout keeps a connection established meanwhile', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connectWithTimeout({ host: '127.0.0.1', port }, backgroundTimers);
  const outcome = new Promise<string>((resolve) => {
    socket.once('connect', () => resolve('connected'));
    socket.once('error', ({ message }) => resolve(message));
  });
  setImmediate(() => {
    const untilMs = performance.now() + BUSY_MS;
    while (performance.now() < untilMs);
  });
  assert.is(await outcome, 'connected');
  socket.destroy();
  await new Promise((resolve) => server.close(resolve));
});

test.run();
