import createDecisionLog from '@limelead/decision-log';
import { LimeleadError } from '@limelead/errors';
import createMetrics from '@limelead/metrics';
import { systemTimers } from '@limelead/types';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import AnswerBufferBudget from './answer-buffer-budget.js';
import { ingress } from './front-door.fixture.js';
import OpenRequests from './open-requests.js';
import ResponseSink from './response-sink.js';

const clock = { now: () => performance.now() };
/** More than the buffers of a connection take. */
const LONG_ANSWER_BYTES = 16 * 1024 * 1024;
const NOTICE_MS = 1_000;
const MAX_WAITING_BYTES = 1_000;

/** Shuts down during one request; returns what its caller reads and the log. */
async function shutDownDuring(
  answer: (sink: ResponseSink) => void,
  isRead: boolean,
): Promise<{ text: string; log: string; open: number }> {
  let log = '';
  const output = (text: string, done: () => void): void => {
    log += text;
    done();
  };
  const context = {
    ...{ clock, timers: systemTimers, metrics: createMetrics() },
    log: createDecisionLog({ vm: 'test', clock, output }),
  };
  const requests = new OpenRequests(context, ingress, MAX_WAITING_BYTES);
  const budget = new AnswerBufferBudget<ResponseSink>(Infinity);
  const server = createServer((message, response) => {
    const sink = new ResponseSink(message, response, budget, {
      isStopping: () => true,
      onRefused: () => undefined,
      onBrokenOff: () => undefined,
      onDropped: () => undefined,
    });
    requests.add({ message, response, sink, receivedAtMs: clock.now() });
    answer(sink);
    void requests.shutDown().then(() => server.close());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  let text = '';
  if (isRead) {
    caller.on('data', (chunk) => (text += String(chunk)));
  }
  const closed = new Promise((resolve) => server.once('close', resolve));
  caller.write('GET / HTTP/1.1\r\nHost: a\r\nId: r1\r\n\r\n');
  await closed;
  await context.log.flush();
  caller.destroy();
  return { text, log, open: requests.size };
}

test('a whole answer that its caller does not read is cut by a shutdown, and logged', async () => {
  const { log, open } = await shutDownDuring((sink) => {
    sink.begin(200, [], LONG_ANSWER_BYTES);
    sink.write(Buffer.alloc(LONG_ANSWER_BYTES));
    sink.end();
  }, false);
  assert.match(log, /"event":"request-cut".*"requestId":"r1".*"hasBegun":true/);
  assert.is(open, 0);
});

test('an answer that has begun is broken off by a shutdown and does not look complete', async () => {
  const { text, log, open } = await shutDownDuring((sink) => {
    sink.onShutdown(() => sink.abort(new LimeleadError('outcome-unknown', 'stops')));
    sink.begin(200, []);
    sink.write(Buffer.from('piece'));
  }, true);
  assert.not.match(text, /\r\n0\r\n\r\n$/);
  assert.is(log, '');
  assert.is(open, 0);
});

test('callers of pipelined requests are not seen to leave, and listeners add up', async () => {
  const context = {
    ...{ clock, timers: systemTimers, metrics: createMetrics() },
    log: createDecisionLog({ vm: 'test', clock, output: (_text, done) => done() }),
  };
  const requests = new OpenRequests(context, ingress, MAX_WAITING_BYTES);
  const budget = new AnswerBufferBudget<ResponseSink>(Infinity);
  const left: number[] = [];
  const listeners: number[] = [];
  const server = createServer((message, response) => {
    const sink = new ResponseSink(message, response, budget, {
      isStopping: () => false,
      onRefused: () => undefined,
      onBrokenOff: () => undefined,
      onDropped: () => undefined,
    });
    requests.add({ message, response, sink, receivedAtMs: clock.now() });
    const index = requests.size;
    sink.onCallerLeft(() => left.push(index));
    sink.begin(200, []);
    sink.write(Buffer.from('piece'));
    listeners.push(message.socket.listenerCount('close'));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(5));
  while (requests.size < 5) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  caller.destroy();
  const waitedFromMs = clock.now();
  while (requests.size > 0 && clock.now() - waitedFromMs < NOTICE_MS) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  server.close();
  assert.equal(left.sort(), [1, 2, 3, 4, 5]);
  assert.is(requests.size, 0);
  assert.is(budget.bufferedBytes, 0);
  assert.equal(new Set(listeners).size, 1);
});

test.run();
