import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configuration } from './front-door.fixture.js';
import TestBed, { GOOD, head } from './test-bed.fixture.js';

/** Sends a request and resolves with its answer, which the front door makes when it closes. */
async function closeDuring(
  bed: TestBed,
  bytes: string,
  isUnderWay: () => boolean,
): Promise<string> {
  const answer = bed.exchange(bytes);
  while (!isUnderWay()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await bed.door.close();
  return answer;
}

test('a request that waits for a target when its VM stops is refused as not run', async () => {
  const shares = [{ service: 'none', weight: 1 }];
  const routes = configuration.routes.map((route) => ({ ...route, shares }));
  const bed = await TestBed.start({ ...configuration, routes });
  const text = await closeDuring(bed, GOOD, () => bed.admissions === 1);
  assert.match(text, /^HTTP\/1.1 503[^]*Retry-After: 0.1[^]*"shutting-down"/);
  await bed.stop();
});

test('a request that a target may have run when its VM stops is not reported as not run', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const text = await closeDuring(bed, GOOD, () => bed.arrivals === 1);
  assert.match(text, /^HTTP\/1.1 502[^]*"outcome-unknown"/);
  assert.not.match(text, /Retry-After/i);
  await bed.stop();
  const lines = bed.readLines().map(({ event }) => event);
  assert.ok(lines.includes('request-refused'));
  assert.not.ok(lines.includes('request-cut'));
});

test('a request whose body ends after its VM refused it reaches no target', async () => {
  const bed = await TestBed.start();
  let text = '';
  const socket = connect(bed.door.port, '127.0.0.1');
  const ended = new Promise((resolve) => socket.once('close', resolve));
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    text += String(chunk);
    socket.write('i');
  });
  socket.write(head(['Content-Length: 2']) + '\r\nh');
  while (bed.door.openRequests === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await bed.door.close();
  await ended;
  assert.match(text, /^HTTP\/1.1 503[^]*"shutting-down"/);
  assert.is(bed.arrivals, 0);
  await bed.stop();
});

test('a request that another VM relays to a closed front door is refused as not run', async () => {
  const bed = await TestBed.start();
  const peers = createServer((message, response) =>
    bed.door.acceptRelayed(message, response, { composeRefusalHeaders: () => [] }),
  );
  await new Promise<void>((resolve) => peers.listen(0, '127.0.0.1', resolve));
  await bed.door.close();
  const socket = connect((peers.address() as AddressInfo).port, '127.0.0.1');
  const answer = new Promise((resolve) => socket.once('data', (chunk) => resolve(String(chunk))));
  socket.write(GOOD);
  assert.match(String(await answer), /^HTTP\/1.1 503[^]*"shutting-down"/);
  assert.is(bed.arrivals, 0);
  peers.close();
  await bed.stop();
});

test.run();
