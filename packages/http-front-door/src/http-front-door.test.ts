import compileRoutes, { chooseService } from '@limelead/route-requests';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configuration } from './front-door.fixture.js';
import TestBed, { ANSWERED, clock, GOOD, head, NO_CONFIGURATION } from './test-bed.fixture.js';

async function statusOf(bed: TestBed, bytes: string): Promise<string> {
  return (await bed.exchange(bytes, /\r\n\r\n/)).slice(9, 12);
}

test('a stream that a caller resumes goes to the service of its first attempt', async () => {
  const [calls] = configuration.routes;
  const shares = ['a', 'b', 'c', 'd'].map((service) => ({ service, weight: 1 }));
  const changes = { streaming: true, repeatable: true, pathPrefix: '/stream/', timeoutMs: 40 };
  const streams = { ...calls!, ...changes, shares };
  const bed = await TestBed.start({ ...configuration, routes: [streams] });
  const ids = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6', 'r7', 'r8'];
  for (const id of ids) {
    const fields = [`Id: ${id}b`, `First-Attempt: ${id}`, 'Last: 3', 'Key: good'];
    const lines = ['POST /stream/1 HTTP/1.1', 'Host: vans.example', ...fields, 'Content-Length: 0'];
    await bed.exchange(`${lines.join('\r\n')}\r\n\r\n`, /HTTP/);
  }
  await bed.stop();
  const resumed = bed.readLines().filter(({ event }) => event === 'stream-resume-requested');
  assert.equal(
    resumed.map(({ service }) => service),
    ids.map((id) => chooseService(streams, id)),
  );
});

test('a valid request reaches its target unchanged, with its organisation instead of the key', async () => {
  const bed = await TestBed.start();
  const text = await bed.exchange(GOOD, ANSWERED);
  assert.match(text, /^HTTP\/1.1 200/);
  assert.equal(bed.arrived, [{ path: '/call/1', body: 'hi', organisation: 'north' }]);
  const chunked = head(['Transfer-Encoding: chunked']) + '\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n';
  await bed.exchange(chunked, ANSWERED);
  assert.is(bed.arrived[1]?.body, 'hi');
  await bed.stop();
});

test('an invalid request gets its status and reaches no target', async () => {
  const bed = await TestBed.start();
  const cases: [string, string][] = [
    ['400', 'no request at all\r\n\r\n'],
    ['400', head(['Content-Length: 2', 'Transfer-Encoding: chunked']) + '\r\n0\r\n\r\n'],
    ['400', head(['Content-Length: 2', 'Content-Length: 3']) + '\r\nhi!'],
    ['400', head(['Host: other.example', 'Content-Length: 0']) + '\r\n'],
    ['400', 'POST /call/1 HTTP/1.1\r\nHost: vans.example\r\nContent-Length: 0\r\n\r\n'],
    ['400', 'POST ftp://vans.example/call/1 HTTP/1.1\r\nHost: vans.example\r\nId: r1\r\n\r\n'],
    ['401', 'POST http://vans.example/call/1 HTTP/1.1\r\nHost: vans.example\r\nId: r1\r\n\r\n'],
    ['401', head().replace('good', 'bad') + '\r\n'],
    ['404', head([], '/elsewhere/1') + '\r\n'],
    ['413', head(['Content-Length: 1001']) + '\r\n'],
    ['413', head(['Transfer-Encoding: chunked']) + `\r\n3e9\r\n${'x'.repeat(1_001)}\r\n0\r\n\r\n`],
    ['431', head([`Long: ${'x'.repeat(2_100)}`]) + '\r\n'],
    ['431', head([`Long: ${'x'.repeat(70_000)}`]) + '\r\n'],
  ];
  for (const [status, bytes] of cases) {
    assert.is(await statusOf(bed, bytes), status, bytes.slice(0, 200));
  }
  assert.equal(bed.arrived, []);
  assert.is((await bed.exchange(GOOD, ANSWERED)).slice(9, 12), '200');
  await bed.stop();
});

test("every answer of the VM itself is logged with the request's id, if it can be read", async () => {
  const bed = await TestBed.start();
  const both = head(['Content-Length: 2', 'Transfer-Encoding: chunked']) + '\r\n0\r\n\r\n';
  await statusOf(bed, both);
  await statusOf(bed, head([], '/elsewhere/1') + '\r\n');
  const logged = bed.readLines().filter(({ status }) => status !== undefined);
  assert.equal(
    logged.map(({ event, requestId, status }) => [event, requestId, status]),
    [
      ['request-malformed', 'r1', 400],
      ['request-refused', 'r1', 404],
    ],
  );
  assert.equal(
    logged.map(({ source }) => source),
    ['store', 'store'],
  );
  assert.is(logged[0]?.['firstLine'], 'POST /call/1 HTTP/1.1');
  await bed.stop();
});

test('a request in absolute form is routed by its URL and reaches the target as a path', async () => {
  const bed = await TestBed.start();
  const sent = head(['Content-Length: 2'], 'http://vans.example:80/call/1?x=2');
  const text = await bed.exchange(sent.replace('Host: vans', 'Host: other') + '\r\nhi', ANSWERED);
  assert.match(text, /^HTTP\/1.1 200/);
  assert.is(bed.arrived[0]?.path, '/call/1?x=2');
  const elsewhere = head([], 'http://other.example/call/1') + '\r\n';
  assert.is(await statusOf(bed, elsewhere), '404');
  await bed.stop();
});

test('a refusal keeps the connection of a request without a body, not that of an unread body', async () => {
  const bed = await TestBed.start();
  const empty = head([], '/elsewhere/1') + '\r\n';
  const text = await bed.exchange(empty + GOOD, ANSWERED);
  assert.match(text, /^HTTP\/1.1 404[^]*HTTP\/1.1 200/);
  const unread = await bed.exchange(head(['Content-Length: 1001']) + '\r\n', /\r\n\r\n/);
  assert.match(unread, /^HTTP\/1.1 413[^]*Connection: close/);
  await bed.stop();
});

test('an unknown Expect header is ignored', async () => {
  const bed = await TestBed.start();
  const text = await bed.exchange(head(['Expect: luck', 'Content-Length: 2']) + '\r\nhi', ANSWERED);
  assert.match(text, /^HTTP\/1.1 200/);
  await bed.stop();
});

test('a slow head or body gets 408 without effect on other requests', async () => {
  const bed = await TestBed.start();
  const slowHead = bed.exchange('POST /call/1 HTTP/1.1\r\nHost: va');
  const slowBody = bed.exchange(head(['Content-Length: 5']) + '\r\nh', /\r\n\r\n/);
  assert.match(await bed.exchange(GOOD, ANSWERED), /200/);
  assert.match(await slowHead, /^HTTP\/1.1 408/);
  assert.match(await slowBody, /^HTTP\/1.1 408/);
  assert.is(bed.arrived.length, 1);
  await bed.stop();
});

test('the bodies of all callers share one limit, and released bytes can be used again', async () => {
  const bed = await TestBed.start();
  const partial = head(['Content-Length: 1000']) + `\r\n${'x'.repeat(990)}`;
  const held = [bed.exchange(partial), bed.exchange(partial)];
  while (bed.door.bufferedBodyBytes < 1_980) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  const whole = head(['Content-Length: 900']) + `\r\n${'x'.repeat(900)}`;
  assert.is(await statusOf(bed, whole), '503');
  await Promise.all(held);
  assert.is(await statusOf(bed, whole), '200');
  await bed.stop();
});

// Guards against bodies that are no longer counted while a target that reads slowly has yet to take them.
test('a body counts until its answer ends, however slowly its target reads', async () => {
  const bed = await TestBed.start();
  bed.holdBodies();
  const whole = head(['Content-Length: 900']) + `\r\n${'x'.repeat(900)}`;
  const first = bed.exchange(whole, ANSWERED);
  const second = bed.exchange(whole, ANSWERED);
  while (bed.arrivals < 2) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.is(bed.door.bufferedBodyBytes, 1_800);
  assert.is(await statusOf(bed, whole), '503');
  bed.readOn();
  await Promise.all([first, second]);
  while (bed.door.bufferedBodyBytes > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.is(await statusOf(bed, whole), '200');
  await bed.stop();
});

test('a request inside the body of another is not parsed as a request', async () => {
  const bed = await TestBed.start();
  const inner = head(['Content-Length: 0'], '/call/inner') + '\r\n';
  const outer = head([`Content-Length: ${inner.length}`]) + `\r\n${inner}`;
  await bed.exchange(outer, /got/);
  assert.equal(
    bed.arrived.map(({ path }) => path),
    ['/call/1'],
  );
  await bed.stop();
});

test('without a configuration a VM answers 503 with Retry-After, not 404', async () => {
  const bed = await TestBed.start(NO_CONFIGURATION);
  const text = await bed.exchange(GOOD, /\r\n\r\n/);
  assert.match(text, /^HTTP\/1.1 503/);
  assert.match(text, /Retry-After: 0\.\d/);
  await bed.stop();
});

test('a request that arrives before the configuration is held and then served', async () => {
  const bed = await TestBed.start(NO_CONFIGURATION);
  const held = bed.exchange(GOOD, ANSWERED);
  while (bed.door.openRequests === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  bed.door.onStoreViewChange();
  assert.equal(bed.arrived, []);
  bed.table = compileRoutes(configuration);
  bed.door.onStoreViewChange();
  assert.match(await held, /^HTTP\/1.1 200/);
  assert.is(bed.arrived.length, 1);
  await bed.stop();
});

test('a VM that stops before it has a configuration refuses held requests at once', async () => {
  const bed = await TestBed.start(NO_CONFIGURATION);
  const held = bed.exchange(GOOD, /\r\n\r\n/);
  while (bed.door.openRequests === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  bed.door.startDraining(clock.now() + 5_000);
  assert.match(await held, /^HTTP\/1.1 503/);
  await bed.stop();
});

test('a stopping VM finishes requests and closes each connection after the answer', async () => {
  const bed = await TestBed.start();
  bed.door.startDraining(clock.now() + 5_000);
  const text = await bed.exchange(GOOD);
  assert.match(text, /^HTTP\/1.1 200/);
  assert.match(text, /connection: close/i);
  await bed.stop();
});

test('a closed front door has no open requests', async () => {
  const bed = await TestBed.start();
  const partial = head(['Content-Length: 1000']) + '\r\nx';
  void bed.exchange(partial);
  while (bed.door.openRequests === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await bed.door.close();
  assert.is(bed.door.openRequests, 0);
  await bed.stop();
});

test('a call that may outlast a stopping VM is refused as not run and reaches no target', async () => {
  const bed = await TestBed.start();
  bed.door.startDraining(clock.now() + 150);
  const text = await bed.exchange(GOOD);
  assert.match(text, /^HTTP\/1.1 503/);
  assert.match(text, /Retry-After: /i);
  assert.match(text, /connection: close/i);
  assert.equal(bed.arrived, []);
  await bed.stop();
});

test.run();
