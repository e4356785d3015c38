import { toHttpStatus } from '@limelead/errors';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardCall from './forward-call.js';
import { NO_LIMITS } from './send-permits.js';
import { admit, begin, RecordingSink, TestBed, type Behaviour } from './forwarding.fixture.js';

const answer: Behaviour = (request, response) => {
  begin(request, response);
  response.end('done');
};
const fail: Behaviour = (request, response) => {
  response.writeHead(500, { id: String(request.headers['id']) }).end('no');
};
const turnAway: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};
const reset: Behaviour = (request) => {
  request.socket.destroy();
};
const ONCE = { streaming: false, repeatable: false, maxTargets: 1 };
const REPEATABLE = { streaming: false, repeatable: true, maxTargets: 2 };

async function play(behaviours: Behaviour[], ...admission: Parameters<typeof admit>) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardCall(bed.context, admit(...admission), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink };
}

function statusOf({ error }: RecordingSink): number | undefined {
  return error && toHttpStatus(error.kind, error.answer.execution);
}

test('a call that may run once is never sent again after its answer was lost, nor called "not run"', async () => {
  const { bed, sink } = await play([reset, answer], ONCE);
  assert.equal(bed.asked, ['t1']);
  assert.is(sink.outcome, 'refused');
  assert.is(statusOf(sink), 502);
});

test('a send whose answer was lost was begun, and one that was turned away was not', async () => {
  const bed = await TestBed.start(reset, turnAway, answer);
  const begun: string[] = [];
  bed.context.observer.onBegun = (_admitted, { id }) => void begun.push(id);
  const sink = new RecordingSink();
  forwardCall(bed.context, admit({ ...REPEATABLE, maxTargets: 3 }), sink);
  await sink.done;
  assert.equal(bed.asked, ['t1', 't2', 't3']);
  assert.equal(begun, ['t1', 't3']);
  await bed.stop();
});

test('a call that may run once goes to another target where the first certainly did not run it', async () => {
  const { bed, sink } = await play([turnAway, answer], ONCE);
  assert.equal(bed.asked, ['t1', 't2']);
  assert.is(sink.body, 'done');
});

test('another target at the address ran nothing, and is not taken again for the one that was meant', async () => {
  const other: Behaviour = (_, response) => {
    response.writeHead(421, { 'not-run': '1' }).end();
  };
  const { bed, sink } = await play([other, answer], ONCE);
  assert.equal(bed.asked, ['t1', 't2']);
  assert.is(sink.body, 'done');
  assert.ok(bed.directory.isSuspected('t1'));
});

test('a caller who leaves takes its call along', async () => {
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
  forwardCall(bed.context, admit(REPEATABLE), sink);
  await arrived;
  sink.leave();
  await closed;
  assert.is(bed.seen.length, 1);
  await bed.stop();
});

test('repeats stop when the budget that all VMs share is spent', async () => {
  const bed = await TestBed.start(fail, fail, fail);
  const spender = bed.context.retriesOf('briefs');
  while (spender.trySpend(performance.now(), 1));
  const sink = new RecordingSink();
  forwardCall(bed.context, admit(REPEATABLE), sink);
  await sink.done;
  assert.is(sink.status, 500);
  assert.is(bed.seen.length, 1);
  await bed.stop();
});

test('a target that is gone did not run anything either', async () => {
  const bed = await TestBed.start(answer);
  const target = bed.directory.get('t1')!.target;
  bed.directory.apply([
    { kind: 'put', target: { ...target, id: 't0', port: 1, failureDomain: 'north' } },
    { kind: 'put', target: { ...target, failureDomain: 'south' } },
  ]);
  const sink = new RecordingSink();
  forwardCall(bed.context, admit(ONCE), sink);
  await sink.done;
  assert.is(sink.body, 'done');
  await bed.stop();
});

test('a failure of a repeatable call is tried at another target, and told where both fail', async () => {
  const mended = await play([fail, answer], REPEATABLE);
  assert.is(mended.sink.body, 'done');
  const both = await play([fail, fail, answer], REPEATABLE);
  assert.is(both.sink.status, 500);
  assert.is(both.bed.seen.length, 2);
});

test('a failure of a call that may run once is told as it is', async () => {
  const { bed, sink } = await play([fail, answer], ONCE);
  assert.is(sink.status, 500);
  assert.equal(bed.asked, ['t1']);
});

test('an answer to another request is never passed on', async () => {
  const mixed: Behaviour = (_, response) => {
    response.writeHead(200, { id: 'another' }).end('not yours');
  };
  const once = await play([mixed, answer], ONCE);
  assert.is(statusOf(once.sink), 502);
  assert.is(once.sink.body, '');
  const repeatable = await play([mixed, answer], REPEATABLE);
  assert.is(repeatable.sink.body, 'done');
});

test('an answer that breaks off does not reach the caller as a whole one', async () => {
  const breakOff: Behaviour = (request, response) => {
    begin(request, response);
    response.write('do', () => setImmediate(() => response.destroy()));
  };
  const once = await play([breakOff, answer], ONCE);
  assert.is(once.sink.outcome, 'refused');
  const repeatable = await play([breakOff, answer], REPEATABLE);
  assert.is(repeatable.sink.body, 'done');
});

test('a second send that waits for a permit gives way to a repeat once the first failed', async () => {
  const slowFailure: Behaviour = (request, response, seen) =>
    void setTimeout(() => fail(request, response, seen), 200);
  const bed = await TestBed.start(slowFailure, answer);
  bed.usePermits({ ...NO_LIMITS, isLimiting: true, maySend: (_, isExtra) => isExtra !== true });
  const sink = new RecordingSink();
  forwardCall(bed.context, admit({ ...REPEATABLE, objectiveMs: 100 }), sink);
  await sink.done;
  await bed.stop();
  assert.equal(bed.asked, ['t1', 't2']);
  assert.is(sink.body, 'done');
});

test('a slow repeatable call is sent a second time, and the first good answer is taken', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const slow: Behaviour = (request) => request.socket.once('close', onClosed);
  const { bed, sink } = await play([slow, answer], { ...REPEATABLE, objectiveMs: 60 });
  assert.is(sink.body, 'done');
  assert.equal(bed.asked, ['t1', 't2']);
  await closed;
});

test('a call that waited in vain for a slot was not run; one that was sent may have been', async () => {
  const mute: Behaviour = () => undefined;
  const sent = await play([mute], { ...ONCE, timeoutMs: 80 });
  assert.is(statusOf(sent.sink), 504);
  const bed = await TestBed.start();
  const sink = new RecordingSink();
  forwardCall(bed.context, admit({ ...ONCE, timeoutMs: 80 }), sink);
  await sink.done;
  assert.is(statusOf(sink), 503);
  assert.ok((sink.error?.answer.retryAfterMs ?? 0) > 0);
});

test('a call that finds all slots taken is sent as soon as one is free, the urgent one first', async () => {
  const open: (() => void)[] = [];
  const held: Behaviour = (request, response) => {
    open.push(() => {
      begin(request, response);
      response.end(String(request.headers['id']));
    });
    arrived();
  };
  let arrived = (): void => undefined;
  const nextArrival = (): Promise<void> => new Promise((resolve) => (arrived = resolve));
  const bed = await TestBed.start(held);
  const send = (requestId: string, rank: number): RecordingSink => {
    const sink = new RecordingSink();
    const admitted = admit({ ...ONCE, rank }, { requestId });
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

test.run();
