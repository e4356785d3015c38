import { test } from 'uvu';
import * as assert from 'uvu/assert';
import explainRequest from './explain-request.js';

function line(steadyMs: number, event: string, fields: object, requestId = 'r1'): string {
  return JSON.stringify({ time: 'then', steadyMs, vm: 'vm-1', event, requestId, ...fields });
}

test('steps are listed in the order of the lines, with the time since the first line', () => {
  const explanation = explainRequest('r1', [
    line(1_000, 'call-sent', { target: 't1', attempt: 1 }),
    line(1_002, 'call-sent', { target: 't2', attempt: 1 }, 'r2'),
    '{"a line of r1 that is cut',
    `   4.5 vm-1 ${line(1_028, 'call-finished', { outcome: 'answered', status: 500, attempts: 2 })}`,
  ]);
  assert.equal(explanation.steps, [
    '     +0 ms  vm-1  call-sent  target t1, attempt 1',
    '    +28 ms  vm-1  call-finished  outcome answered, status 500, attempts 2',
  ]);
  assert.is(explanation.outcome, 'answered, status 500, sent 2 times');
});

test('the outcome of a refused request contains the status, kind and reason', () => {
  const refusal = { kind: 'overloaded', status: 503, reason: 'no place came free' };
  const explanation = explainRequest('r1', [line(5, 'request-refused', refusal)]);
  assert.is(explanation.outcome, 'refused with 503 (overloaded): no place came free');
});

test('there are no steps without lines of the request, and no outcome without a line that ends it', () => {
  assert.equal(explainRequest('r9', [line(1, 'call-sent', {})]), {
    steps: [],
    outcome: undefined,
  });
  assert.is(explainRequest('r1', [line(1, 'call-sent', {})]).outcome, undefined);
});

test.run();
