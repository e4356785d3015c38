/** Guards against answers without end that are no stream: they were read until a deadline or a timeout. */
import { systemTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';
import queryTarget from './query-target.js';

const LONG_BODY = Buffer.alloc(300 * 1024, 'e');

test('an error answer without end occupies a stream until its deadline', async () => {
  const endless: Behaviour = (request, response) => {
    response.writeHead(500, { id: String(request.headers['id']) });
    const writeMore = (): void => {
      while (!response.destroyed && response.write(LONG_BODY));
    };
    response.on('drain', () => setImmediate(writeMore));
    writeMore();
  };
  const bed = await TestBed.start(endless, streamTo(3));
  const sink = new RecordingSink();
  const startedAtMs = performance.now();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  const tookMs = performance.now() - startedAtMs;
  await bed.stop();
  assert.ok(tookMs < 1_000, `${tookMs} ms`);
  assert.is(sink.body, [1, 2, 3].map(formatPiece).join(''));
  assert.is(sink.heldBytes, 0);
});

test('a report without end is not read to its end', async () => {
  const bed = await TestBed.start((_, response) => {
    response.write('x');
    const timer = setInterval(() => response.destroyed || response.write(LONG_BODY), 1);
    response.on('close', () => clearInterval(timer));
  });
  const target = bed.directory.get('t1')?.target;
  assert.ok(target);
  const call = { method: 'GET', path: '/report', headers: ['host', 'test'], body: Buffer.alloc(0) };
  const options = { connections: bed.connections, timers: systemTimers, timeoutMs: 5_000 };
  const startedAtMs = performance.now();
  assert.is(await queryTarget(options, target, call), undefined);
  assert.ok(performance.now() - startedAtMs < 2_500);
  await bed.stop();
});

test.run();
