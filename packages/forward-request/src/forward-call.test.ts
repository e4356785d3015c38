import { toHttpStatus } from '@limelead/errors';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HIGH_WATER_BYTES } from './decide-reading.js';
import forwardCall from './forward-call.js';
import { NO_RATE_LIMITS } from './send-permits.js';
import {
  createAdmittedRequest,
  beginAnswer,
  RecordingSink,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const answer: Behaviour = (request, response) => {
  beginAnswer(request, response);
  response.end('done');
};
const fail: Behaviour = (request, response) => {
  response.writeHead(500, { id: String(request.headers['id']) }).end('no');
};
const reject: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};
const reset: Behaviour = (request) => {
  request.socket.destroy();
};
const ONCE = { streaming: false, repeatable: false, maxTargets: 1 };
const REPEATABLE = { streaming: false, repeatable: true, maxTargets: 2 };

async function forward(
  behaviours: Behaviour[],
  ...admission: Parameters<typeof createAdmittedRequest>
) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(...admission), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink };
}

function statusOf({ error }: RecordingSink): number | undefined {
  return error && toHttpStatus(error.kind, error.answer.execution);
}

test('a call that is not repeatable is not retried after its answer was lost, nor reported as not run', async () => {
  const { bed, sink } = await forward([reset, answer], ONCE);
  assert.equal(bed.askedTargets, ['t1']);
  assert.is(sink.outcome, 'refused');
  assert.is(statusOf(sink), 502);
});

/** Shuts down while the targets have begun a call, or while it waits if there are none. */
async function shutDownDuring(
  behaviours: Behaviour[],
  isUnderWay?: (sink: RecordingSink) => boolean,
) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(ONCE), sink);
  while (isUnderWay?.(sink) === false || bed.seen.length < behaviours.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  sink.shutDown();
  await bed.stop();
  return sink;
}

test('a call that waits when its VM shuts down is refused as not run', async () => {
  const sink = await shutDownDuring([]);
  assert.is(sink.outcome, 'refused');
  assert.is(sink.error?.kind, 'shutting-down');
  assert.is(statusOf(sink), 503);
});

test('a call that may run when its VM shuts down is not reported as not run', async () => {
  const sink = await shutDownDuring([() => undefined]);
  assert.is(sink.outcome, 'refused');
  assert.is(sink.error?.answer.execution, 'unknown');
  assert.is(statusOf(sink), 502);
});

test('a call whose answer has begun when its VM shuts down is broken off', async () => {
  const long: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.write(Buffer.alloc(8 * HIGH_WATER_BYTES));
  };
  const sink = await shutDownDuring([long], ({ status }) => status === 200);
  assert.is(sink.outcome, 'aborted');
  assert.is(sink.error?.kind, 'outcome-unknown');
});

/** Forwards a call by a VM that relays to the targets of the bed as if they were VMs. */
async function relay(behaviours: Behaviour[], route: typeof ONCE) {
  const bed = await TestBed.start(...behaviours);
  const helpers = bed.directory.all().map(({ target }) => ({ ...target, isHelper: true }));
  const outcomes: unknown[] = [];
  bed.context.relay = {
    isNeeded: () => true,
    mustDecline: () => false,
    acquire(_, exclude) {
      const target = helpers.find(({ id }) => !exclude.has(id));
      const release = (outcome: unknown): void => void outcomes.push(outcome);
      return target && { tracked: { ...bed.directory.get(target.id)!, target }, release };
    },
  };
  const runs: string[] = [];
  bed.context.observer.onRunStarted = (_, { id }) => void runs.push(id);
  const budget = bed.context.retryBudgetOf('briefs');
  const requestRetry = budget.requestRetry.bind(budget);
  let retries = 0;
  budget.requestRetry = (...request) => {
    retries += 1;
    return requestRetry(...request);
  };
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(route), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink, outcomes, runs, retries };
}

test('a call is relayed to another VM after one declined it, and only that VM reports its run', async () => {
  const { bed, sink, outcomes, runs, retries } = await relay([reject, answer], ONCE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.body, 'done');
  assert.equal(outcomes, ['rejected', 'answered']);
  assert.equal(runs, []);
  assert.is(retries, 0);
});

test('a call that is not repeatable is not relayed twice after its VM was lost, nor reported as not run', async () => {
  const { bed, sink } = await relay([reset, answer], ONCE);
  assert.equal(bed.askedTargets, ['t1']);
  assert.is(statusOf(sink), 502);
});

test('a repeatable call goes through a second VM after the first one was lost', async () => {
  const { bed, sink } = await relay([reset, answer], REPEATABLE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.body, 'done');
});

test('attempts of a call that reach nobody are bounded', async () => {
  const bed = await TestBed.start(answer, answer, answer);
  await bed.stop();
  let sends = 0;
  const { connections } = bed.context;
  const send = connections.send.bind(connections);
  connections.send = (...call) => {
    sends += 1;
    return send(...call);
  };
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest({ ...ONCE, timeoutMs: 800 }), sink);
  await sink.done;
  assert.ok(sends >= 3 && sends <= 15, `${sends} sends`);
  assert.is(statusOf(sink), 503);
});

test('an attempt whose answer was lost counts as started, and a rejected one does not', async () => {
  const bed = await TestBed.start(reset, reject, answer);
  const started: string[] = [];
  bed.context.observer.onRunStarted = (_admitted, { id }) => void started.push(id);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest({ ...REPEATABLE, maxTargets: 3 }), sink);
  await sink.done;
  assert.equal(bed.askedTargets, ['t1', 't2', 't3']);
  assert.equal(started, ['t1', 't3']);
  await bed.stop();
});

test('a call that is not repeatable is retried if the first target certainly did not run it', async () => {
  const { bed, sink } = await forward([reject, answer], ONCE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.body, 'done');
});

test('if another target answers at the address, the call is retried and the intended target is suspected', async () => {
  const other: Behaviour = (_, response) => {
    response.writeHead(421, { 'not-run': '1' }).end();
  };
  const { bed, sink } = await forward([other, answer], ONCE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.body, 'done');
  assert.ok(bed.directory.isSuspected('t1'));
});

test('a call is cancelled when its caller leaves', async () => {
  let onClosed = (): void => undefined;
  let onArrived = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const arrived = new Promise<void>((resolve) => (onArrived = resolve));
  const mute: Behaviour = (request) => {
    request.socket.once('close', onClosed);
    onArrived();
  };
  const bed = await TestBed.start(mute);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(REPEATABLE), sink);
  await arrived;
  sink.leave();
  await closed;
  assert.is(bed.seen.length, 1);
  await bed.stop();
});

test('a failed call is not retried when the retry budget is exhausted', async () => {
  const bed = await TestBed.start(fail, fail, fail);
  const retryBudget = bed.context.retryBudgetOf('briefs');
  while (retryBudget.trySpend(performance.now(), 1));
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(REPEATABLE), sink);
  await sink.done;
  assert.is(sink.status, 500);
  assert.is(bed.seen.length, 1);
  await bed.stop();
});

test('a call that is not repeatable is retried if its target is unreachable', async () => {
  const bed = await TestBed.start(answer);
  const target = bed.directory.get('t1')!.target;
  bed.directory.apply([
    { kind: 'put', target: { ...target, id: 't0', port: 1, failureDomain: 'north' } },
    { kind: 'put', target: { ...target, failureDomain: 'south' } },
  ]);
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest(ONCE), sink);
  await sink.done;
  assert.is(sink.body, 'done');
  await bed.stop();
});

test('a failed repeatable call is retried at another target, and returns the failure if both fail', async () => {
  const retried = await forward([fail, answer], REPEATABLE);
  assert.is(retried.sink.body, 'done');
  const both = await forward([fail, fail, answer], REPEATABLE);
  assert.is(both.sink.status, 500);
  assert.is(both.bed.seen.length, 2);
});

test('a failure of a call that is not repeatable is returned to the caller', async () => {
  const { bed, sink } = await forward([fail, answer], ONCE);
  assert.is(sink.status, 500);
  assert.equal(bed.askedTargets, ['t1']);
});

test('an answer to another request never reaches the caller', async () => {
  const mixed: Behaviour = (_, response) => {
    response.writeHead(200, { id: 'another' }).end('not yours');
  };
  const once = await forward([mixed, answer], ONCE);
  assert.is(statusOf(once.sink), 502);
  assert.is(once.sink.body, '');
  const repeatable = await forward([mixed, answer], REPEATABLE);
  assert.is(repeatable.sink.body, 'done');
});

test('an answer that breaks off does not reach the caller as a complete one', async () => {
  const breakOff: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.write('do', () => setImmediate(() => response.destroy()));
  };
  const once = await forward([breakOff, answer], ONCE);
  assert.is(once.sink.outcome, 'refused');
  const repeatable = await forward([breakOff, answer], REPEATABLE);
  assert.is(repeatable.sink.body, 'done');
});

test('a hedge that waits for a permit becomes a retry after the first attempt failed', async () => {
  const slowFailure: Behaviour = (request, response, seen) =>
    void setTimeout(() => fail(request, response, seen), 200);
  const bed = await TestBed.start(slowFailure, answer);
  bed.usePermits({
    ...NO_RATE_LIMITS,
    hasLimits: true,
    canSend: (_, isHedge) => isHedge !== true,
  });
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest({ ...REPEATABLE, objectiveMs: 100 }), sink);
  await sink.done;
  await bed.stop();
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.body, 'done');
});

test('a slow repeatable call is hedged, and the first good answer is returned', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const slow: Behaviour = (request) => request.socket.once('close', onClosed);
  const { bed, sink } = await forward([slow, answer], { ...REPEATABLE, objectiveMs: 60 });
  assert.is(sink.body, 'done');
  assert.equal(bed.askedTargets, ['t1', 't2']);
  await closed;
});

test('a call without a slot is reported as not run; one that was sent is reported as timed out', async () => {
  const mute: Behaviour = () => undefined;
  const sent = await forward([mute], { ...ONCE, timeoutMs: 80 });
  assert.is(statusOf(sent.sink), 504);
  const bed = await TestBed.start();
  const sink = new RecordingSink();
  forwardCall(bed.context, createAdmittedRequest({ ...ONCE, timeoutMs: 80 }), sink);
  await sink.done;
  assert.is(statusOf(sink), 503);
  assert.ok((sink.error?.answer.retryAfterMs ?? 0) > 0);
});

test('calls that wait for a slot are sent when one is free, the most urgent first', async () => {
  const open: (() => void)[] = [];
  const held: Behaviour = (request, response) => {
    open.push(() => {
      beginAnswer(request, response);
      response.end(String(request.headers['id']));
    });
    arrived();
  };
  let arrived = (): void => undefined;
  const nextArrival = (): Promise<void> => new Promise((resolve) => (arrived = resolve));
  const bed = await TestBed.start(held);
  const send = (requestId: string, rank: number): RecordingSink => {
    const sink = new RecordingSink();
    const admitted = createAdmittedRequest({ ...ONCE, rank }, { requestId });
    forwardCall(bed.context, admitted, sink);
    return sink;
  };
  let arrival = nextArrival();
  const first = send('first', 1);
  await arrival;
  arrival = nextArrival();
  send('second', 1);
  await arrival;
  const later = send('later', 5);
  const urgent = send('urgent', 0);
  arrival = nextArrival();
  open.shift()?.();
  await Promise.all([first.done, arrival]);
  open.at(-1)?.();
  await urgent.done;
  assert.is(urgent.body, 'urgent');
  assert.is(later.outcome, 'open');
  await bed.stop();
});

/** Answers with so many bytes in chunks of 64 KB. */
const answerWith =
  (bytes: number, status = 200): Behaviour =>
  (request, response) => {
    response.writeHead(status, { id: String(request.headers['id']) });
    for (let left = bytes; left > 0; left -= 65_536) {
      response.write(Buffer.alloc(Math.min(left, 65_536), 'x'));
    }
    response.end();
  };

/** Records the largest number of bytes that were held. */
class CountingSink extends RecordingSink {
  mostHeldBytes = 0;

  override addHeldBytes(bytes: number): void {
    super.addHeldBytes(bytes);
    this.mostHeldBytes = Math.max(this.mostHeldBytes, this.heldBytes);
  }
}

// Guards against whole answers that fill the memory of a VM before their callers get a byte.
test('the bytes of an answer are counted while it is buffered, and released when it is written', async () => {
  for (const bytes of [200_000, 1_000_000]) {
    const bed = await TestBed.start(answerWith(bytes));
    const sink = new CountingSink();
    forwardCall(bed.context, createAdmittedRequest(ONCE), sink);
    await sink.done;
    await bed.stop();
    assert.is(sink.body.length, bytes);
    assert.ok(sink.mostHeldBytes >= 200_000);
    assert.ok(sink.mostHeldBytes < 256 * 1024 + 2 * 65_536);
    assert.is(sink.heldBytes, 0);
  }
});

// Guards against an error answer that is kept for the caller and no longer counted.
test('the bytes of a failed answer are counted while another target is tried', async () => {
  const bed = await TestBed.start(answerWith(100_000, 500), reset, reset);
  const sink = new CountingSink();
  forwardCall(bed.context, createAdmittedRequest(REPEATABLE), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.body.length, 100_000);
  assert.is(sink.heldBytes, 100_000);
});

// Guards against a long answer that is read into memory while its caller reads slowly.
test('a long answer is paused while its caller reads slowly, and complete afterwards', async () => {
  const bytes = 20_000_000;
  const bed = await TestBed.start(answerWith(bytes));
  const sink = new RecordingSink();
  sink.waitingBytes = HIGH_WATER_BYTES;
  forwardCall(bed.context, createAdmittedRequest(ONCE), sink);
  await sink.until(() => sink.body !== '');
  await new Promise((resolve) => setTimeout(resolve, 100));
  assert.is(bed.context.readPauses.pausedReads, 1);
  assert.ok(sink.body.length < bytes / 2);
  sink.setWaitingBytes(0);
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body.length, bytes);
});

test.run();
