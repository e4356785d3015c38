import { spawn, type ChildProcess } from 'node:child_process';
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { backgroundTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import connectWithTimeout from './connect-with-timeout.js';

/** Listens, says where, and never takes a connection from its queue. */
const DEAF_PEER = `
  const server = require('net').createServer();
  server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
    require('fs').writeSync(1, String(server.address().port));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });`;
/** Connections that fill such a queue. */
const QUEUE = 2;
/** Longer than a connection may take. */
const BUSY_MS = 400;

async function startDeafPeer(): Promise<{ port: number; process: ChildProcess }> {
  const process = spawn(globalThis.process.execPath, ['-e', DEAF_PEER]);
  const port = await new Promise<string>((resolve) => process.stdout.once('data', resolve));
  return { port: Number(port), process };
}

function connect(port: number): Promise<Socket> {
  const socket = createConnection({ host: '127.0.0.1', port });
  return new Promise((resolve) => socket.once('connect', () => resolve(socket)));
}

/**
 * What happened: all VMs of a fleet started within 0.4 s, the seeds last. Whoever had come
 * first sent its packets to VMs that were not there yet, and met them a second later.
 */
test('a connection whose first packet is lost is given up before the system repeats it', async () => {
  const peer = await startDeafPeer();
  const queued = await Promise.all(Array.from({ length: QUEUE }, () => connect(peer.port)));
  const startedAtMs = performance.now();
  const socket = connectWithTimeout({ host: '127.0.0.1', port: peer.port }, backgroundTimers);
  const error = await new Promise<Error>((resolve) => socket.once('error', resolve));
  assert.match(error.message, 'no connection in time');
  assert.ok(performance.now() - startedAtMs < 900);
  queued.forEach((other) => other.destroy());
  peer.process.kill();
});

test('a connection that is up stays', async () => {
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

test('a VM that was busy for longer than that keeps a connection that came up meanwhile', async () => {
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
