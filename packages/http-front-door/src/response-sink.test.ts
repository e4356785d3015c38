import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { LimeleadError } from '@limelead/errors';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import AnswerBufferBudget from './answer-buffer-budget.js';
import ResponseSink, { type AnswerDrop } from './response-sink.js';

/** Receives a request whose caller disconnects, and resolves once the server has noticed. */
async function receiveFromClosedCaller(): Promise<[IncomingMessage, ServerResponse, () => void]> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  const arrival = new Promise<[IncomingMessage, ServerResponse, () => void]>((resolve) =>
    server.once('request', (message, response) => {
      response.once('close', () => resolve([message, response, () => server.close()]));
      socket.destroy();
    }),
  );
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  return arrival;
}

test('a callback added after the caller disconnected is called at once', async () => {
  const [message, response, stop] = await receiveFromClosedCaller();
  const sink = new ResponseSink(message, response, new AnswerBufferBudget(1_000), {
    isStopping: () => false,
    onRefused: () => undefined,
    onBrokenOff: () => undefined,
    onDropped: () => undefined,
  });
  let calls = 0;
  sink.onCallerLeft(() => (calls += 1));
  stop();
  assert.is(calls, 1);
});

const LIMIT = 4 * 1024 * 1024;
const CHUNK = Buffer.alloc(32 * 1024, 'x');

/** Callers that read nothing at first, each with the sink of its answer. */
class TestBed {
  readonly budget = new AnswerBufferBudget<ResponseSink>(LIMIT);
  readonly drops: AnswerDrop[] = [];
  readonly callers: Socket[] = [];
  private readonly server = createServer();

  static async start(): Promise<TestBed> {
    const bed = new TestBed();
    await new Promise<void>((resolve) => bed.server.listen(0, '127.0.0.1', resolve));
    return bed;
  }

  async open(): Promise<ResponseSink> {
    const { port } = this.server.address() as AddressInfo;
    const caller = connect(port, '127.0.0.1');
    caller.on('error', () => undefined);
    this.callers.push(caller);
    const sink = new Promise<ResponseSink>((resolve) =>
      this.server.once('request', (message, response) =>
        resolve(
          new ResponseSink(message, response, this.budget, {
            isStopping: () => false,
            onRefused: () => undefined,
            onBrokenOff: () => undefined,
            onDropped: (drop) => this.drops.push(drop),
          }),
        ),
      ),
    );
    caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    return sink;
  }

  /** Reads all that a caller gets until its connection ends. */
  read(index: number, until = ''): Promise<string> {
    return new Promise((resolve) => {
      const caller = this.callers[index] as Socket;
      let text = '';
      caller.on('data', (chunk) => {
        text += chunk.toString();
        if (until !== '' && text.endsWith(until)) {
          resolve(text);
        }
      });
      caller.on('close', () => resolve(text));
    });
  }

  async stop(): Promise<void> {
    this.callers.forEach((caller) => caller.destroy());
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }
}

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Writes until so many bytes wait behind those that the kernel took. */
async function fill(sink: ResponseSink, waitingBytes: number): Promise<void> {
  while (sink.countedBytes < waitingBytes) {
    sink.write(CHUNK);
    await nextTurn();
  }
}

// Guards against bytes that stay counted after the caller has read them.
test('bytes are counted while a caller does not read, and released once it has read them', async () => {
  const bed = await TestBed.start();
  const sink = await bed.open();
  let flushes = 0;
  sink.onFlushed(() => (flushes += 1));
  sink.begin(200, []);
  sink.write(Buffer.from('first'));
  while (flushes === 0) {
    await nextTurn();
  }
  assert.is(bed.budget.bufferedBytes, 0);
  await fill(sink, 200_000);
  assert.is(bed.budget.bufferedBytes, sink.countedBytes);
  assert.ok(sink.waitingBytes > 100_000);
  sink.end();
  assert.ok(bed.budget.bufferedBytes >= 200_000);
  const text = await bed.read(0, '0\r\n\r\n');
  assert.ok(text.endsWith('0\r\n\r\n'));
  while (bed.budget.bufferedBytes > 0) {
    await nextTurn();
  }
  assert.equal(bed.drops, []);
  await bed.stop();
});

// Guards against a slow caller that ends the answers of others, and against a dropped stream that
// looks complete or whose run goes on.
test('the largest answer is dropped without an end marker, and its forwarder is told', async () => {
  const bed = await TestBed.start();
  const left: number[] = [];
  const sinks: ResponseSink[] = [];
  for (let index = 0; index < 5; index += 1) {
    const sink = await bed.open();
    sink.onCallerLeft(() => left.push(index));
    sink.begin(200, []);
    sinks.push(sink);
  }
  const [largest, ...others] = sinks as [ResponseSink, ...ResponseSink[]];
  await fill(largest, 0.24 * LIMIT);
  for (const sink of others) {
    await fill(sink, 0.17 * LIMIT);
  }
  assert.equal(bed.drops, []);
  const ended = bed.read(0);
  while (bed.drops.length === 0) {
    others.forEach((sink) => sink.addHeldBytes(1_000));
  }
  assert.is(bed.drops[0]?.outcome, 'broken-off');
  assert.ok((bed.drops[0]?.bytes ?? 0) >= 0.24 * LIMIT);
  await nextTurn();
  assert.equal(left, [0]);
  const text = await ended;
  assert.ok(text.length > 0 && !text.endsWith('0\r\n\r\n'));
  const rest = bed.read(1, '0\r\n\r\n');
  (others[0] as ResponseSink).end();
  assert.ok((await rest).endsWith('0\r\n\r\n'));
  await bed.stop();
});

// Guards against an answer that takes the memory of all before its first byte is written.
test('an answer that is held and not begun is refused when it exceeds its share', async () => {
  const bed = await TestBed.start();
  const sink = await bed.open();
  let left = 0;
  sink.onCallerLeft(() => (left += 1));
  const text = bed.read(0, '}');
  sink.addHeldBytes(LIMIT / 4);
  assert.equal(bed.drops, []);
  sink.addHeldBytes(1);
  assert.is(bed.drops[0]?.outcome, 'refused');
  assert.match(await text, /^HTTP\/1.1 50\d [^]*overloaded/);
  assert.is(left, 1);
  assert.is(bed.budget.bufferedBytes, 0);
  await bed.stop();
});

// Guards against bytes that stay counted after their caller has left.
test('the bytes of a caller that leaves or whose answer is aborted are released', async () => {
  const bed = await TestBed.start();
  const leaving = await bed.open();
  const aborted = await bed.open();
  for (const sink of [leaving, aborted]) {
    sink.begin(200, []);
    await fill(sink, 200_000);
  }
  aborted.abort(new LimeleadError('outcome-unknown', 'the target broke off its answer'));
  assert.is(bed.budget.bufferedBytes, leaving.countedBytes);
  bed.callers[0]?.destroy();
  while (bed.budget.bufferedBytes > 0) {
    await nextTurn();
  }
  await bed.stop();
});

test.run();
