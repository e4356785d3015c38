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
    reasons: [],
    outcome: undefined,
  });
  assert.is(explainRequest('r1', [line(1, 'call-sent', {})]).outcome, undefined);
});

test('the requests that resumed a stream are named with their VMs', () => {
  const resume = line(900, 'stream-resume-requested', { firstAttemptId: 'r1', lastPiece: 7 }, 'r2');
  const explanation = explainRequest('r1', [line(1, 'stream-sent', { attempt: 1 }), resume]);
  assert.equal(explanation.reasons, ['resumed as request r2 at VM vm-1, behind piece 7']);
  assert.is(explanation.steps.length, 1);
});

// Guards against a wait, refusal or move whose cause only a reader of the design notes can tell.
const REASONS: [event: string, fields: object, reason: string][] = [
  [
    'stream-resume-requested',
    { firstAttemptId: 'r0', lastPiece: 12 },
    'resumes the stream that request r0 began, behind piece 12',
  ],
  [
    'stream-origin',
    { outcome: 'known', softwareVersion: 'v2', source: 'peer', versions: ['v1', 'v2'], answers: 3 },
    'goes on at software version v2 (by peer, versions ["v1","v2"], 3 answers of peers)',
  ],
  [
    'stream-origin',
    { outcome: 'unknown', source: 'own', versions: ['v1', 'v2'], answers: 5 },
    'refused: nobody that answered knows which software version began it (by own, versions ["v1","v2"], 5 answers of peers)',
  ],
  [
    'stream-origin',
    {
      ...{ outcome: 'only-version', softwareVersion: 'v1', source: 'own', versions: ['v1'] },
      ...{ isConfirmed: true, answers: 0 },
    },
    'nobody knows who began it; goes on at the only software version there has been, v1 (by own, versions ["v1"] confirmed by the store, 0 answers of peers)',
  ],
  [
    'version-gone',
    { service: 'llm' },
    'refused: no target of service llm runs the software version that began the stream',
  ],
  [
    'call-queued',
    { service: 'api', waitMs: 45, position: 3, outcome: 'granted' },
    'waited 45 ms for a place at service api, behind 3 calls of its VM: granted',
  ],
  [
    'queue-refused',
    { service: 'api', leftMs: 900, retryAfterMs: 2_100, grantedBy: 'vm-2' },
    'refused: no place at service api within the 900 ms left; room is expected in 2100 ms (decided by vm-2)',
  ],
  [
    'retry-waited',
    { class: 'hedge', rank: 2, waitedMs: 30, outcome: 'withdrawn' },
    'waited 30 ms for a retry (class hedge, rank 2): withdrawn',
  ],
  [
    'repeat-unpaid',
    { service: 'llm', class: 'call', rank: 1, attempts: 2, retryAfterMs: 400 },
    'refused a retry (class call) after 2 attempts: the retry budget of service llm has none in time; expected in 400 ms',
  ],
  [
    'silence-judged',
    { target: 't1', silentMs: 240, limitMs: 233, pace: 2.5, outcome: 'kept' },
    'waited: the target answers and is slow, so the run stays (target t1, silent for 240 ms, limit 233 ms, pace 2.5)',
  ],
  [
    'silence-judged',
    { target: 't1', silentMs: 352, limitMs: 233, pace: 1, outcome: 'target-lost' },
    'moved: the target is lost (target t1, silent for 352 ms, limit 233 ms, pace 1)',
  ],
  [
    'placement-limited',
    { reason: 'memory', outcome: 'waits', candidates: 4 },
    'waited for a target: no room in the memory at 4 candidates',
  ],
  [
    'too-large-refused',
    { promptTokens: 90_000, capacityTokens: 88_000 },
    'refused: the prompt of 90000 tokens exceeds the memory of a target, 88000 tokens',
  ],
  [
    'answer-buffer-full',
    { bytes: 2_000, totalBytes: 9_000, outcome: 'broken-off' },
    'broken-off: 2000 bytes waited for the caller, 9000 for all callers of the VM',
  ],
  [
    'reading-paused',
    { waitingBytes: 70_000, pausedMs: 1_000, outcome: 'overdue' },
    'waited: the caller read slowly, so the target was not read for 1000 ms until the longest allowed pause was reached (70000 bytes waiting)',
  ],
];

for (const [event, fields, reason] of REASONS) {
  test(`the reason of ${event} is told: ${reason}`, () => {
    const lines = [line(1, event, fields), line(2, event, fields), line(3, 'call-sent', {})];
    assert.equal(explainRequest('r1', lines).reasons, [reason]);
  });
}

// Guards against states that held before or after the request, or at a VM that did not serve it.
test('the states of the queued service that held during the wait come first', () => {
  const at = (second: number): string => `2026-01-01T00:00:0${second}.000Z`;
  const state = (second: number, event: string, fields: object): string =>
    JSON.stringify({ time: at(second), steadyMs: 0, vm: 'vm-1', event, service: 'api', ...fields });
  const queued = { isOn: true, slots: 18, inProgress: 13 };
  const { reasons } = explainRequest('r1', [
    state(1, 'call-queue-alone', { isAlone: true, queueVm: 'vm-3' }),
    state(2, 'call-queue-alone', { isAlone: false }),
    state(2, 'call-queue-alone', { isAlone: true, vm: 'vm-2' }),
    state(3, 'service-queued', { ...queued, vm: 'vm-3' }),
    state(3, 'service-queued', { ...queued, service: 'other' }),
    line(9, 'call-queued', {
      time: at(4),
      service: 'api',
      waitMs: 5,
      position: 0,
      outcome: 'left',
    }),
    state(5, 'service-queued', { ...queued, vm: 'vm-4' }),
  ]);
  assert.equal(reasons, [
    'service api is queued at VM vm-3: 13 calls in progress at 18 slots',
    'waited 5 ms for a place at service api, behind 0 calls of its VM: left',
  ]);
});

test.run();
