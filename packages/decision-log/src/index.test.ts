import { test } from 'uvu';
import * as assert from 'uvu/assert';
import createDecisionLog, { type LogOutput } from './index.js';

const clock = { now: () => 1234.4 };

test('a line contains time, VM, event and fields', async () => {
  let written = '';
  const output: LogOutput = (text, done) => {
    written += text;
    done();
  };
  const log = createDecisionLog({ vm: 'vm-1', clock, output });
  log.write('target-chosen', { requestId: 'r1', target: 't1', ageMs: 3 });
  await log.flush();
  const line = JSON.parse(written) as Record<string, unknown>;
  assert.ok(!Number.isNaN(Date.parse(String(line['time']))));
  delete line['time'];
  assert.equal(line, {
    steadyMs: 1234,
    vm: 'vm-1',
    event: 'target-chosen',
    requestId: 'r1',
    target: 't1',
    ageMs: 3,
  });
});

test('a blocked output drops lines beyond the queue, and their number is logged afterwards', async () => {
  const written: string[] = [];
  let ready = (): void => undefined;
  const output: LogOutput = (text, done) => {
    written.push(text);
    ready = done;
  };
  const log = createDecisionLog({ vm: 'vm-1', clock, output, maxQueuedLines: 3 });
  log.write('first');
  await new Promise((resolve) => setImmediate(resolve));
  for (let index = 0; index < 10; index += 1) {
    log.write('more');
  }
  assert.is(log.dropped, 7);
  ready();
  const lines = (written[1] ?? '').trim().split('\n');
  assert.is((JSON.parse(lines[0] ?? '') as { lines: number }).lines, 7);
  assert.is(lines.length, 4);
});

test.run();
