/** Requests that need a retry while the retry budget has none. */
import { toHttpStatus } from '@limelead/errors';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { AnswerSink } from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import forwardCall from './forward-call.js';
import forwardStream from './forward-stream.js';
import {
  beginAnswer,
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  streamThen,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const WINDOW_MS = 10_000;
const destroy = (response: { destroy(): void }): void => response.destroy();
const reject: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};
const reset: Behaviour = (request) => {
  request.socket.destroy();
};

function pieces(last: number): string {
  return Array.from({ length: last }, (_, index) => formatPiece(index + 1)).join('');
}

/** Starts targets on a VM whose retry budget is spent. */
async function startWithoutBudget(...behaviours: Behaviour[]) {
  const bed = await TestBed.start(...behaviours);
  const budget = bed.context.retryBudgetOf('briefs');
  while (budget.trySpend(performance.now(), 1));
  // The first attempt of the request under test adds 0.95 retries, which must not suffice.
  const rest = budget.countOwnAvailable(performance.now(), 1);
  assert.ok(rest < 1e-6, `${rest} retries are left`);
  return { bed, budget };
}

function run(
  bed: TestBed,
  forward: (context: ForwardContext, admitted: AdmittedRequest, sink: AnswerSink) => void,
  route: Parameters<typeof createAdmittedRequest>[0] = {},
): RecordingSink {
  const sink = new RecordingSink();
  forward(bed.context, createAdmittedRequest(route), sink);
  return sink;
}

async function untilWaiting(budget: { waiting: number }): Promise<void> {
  while (budget.waiting === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function statusOf({ error }: RecordingSink): number | undefined {
  return error && toHttpStatus(error.kind, error.answer.execution);
}

// Guards against polling, and against streams that are given up after 10 s without budget.
test('a stream that has written waits for a retry and resumes when a peer lends one', async () => {
  const { bed, budget } = await startWithoutBudget(streamThen(3, destroy), streamTo(5));
  const sink = run(bed, forwardStream);
  await untilWaiting(budget);
  assert.equal(bed.askedTargets, ['t1']);
  budget.borrow(performance.now(), 1);
  await sink.done;
  assert.is(sink.body, pieces(5));
  assert.is(budget.waiting, 0);
  await bed.stop();
});

// Guards against a stream that asks again after each target that refuses connections.
test('one retry suffices for a stream that meets targets which refuse connections', async () => {
  const { bed, budget } = await startWithoutBudget(streamThen(3, destroy), streamTo(5));
  const target = bed.directory.get('t2')!.target;
  const dead = ['a1', 'a2', 'a3'].map((id) => ({ ...target, id, port: 1 }));
  bed.directory.apply(dead.map((listed) => ({ kind: 'put', target: listed })));
  bed.askTarget = (request, receive) => {
    const id = ['t1', 'a1', 'a2', 'a3', 't2'].find((other) => !request.exclude.includes(other));
    receive({ outcome: 'advised', target: id ?? 't2', scheduler: 'vm', afterMs: 0 });
    return () => undefined;
  };
  const sink = run(bed, forwardStream);
  await untilWaiting(budget);
  budget.borrow(performance.now(), 1);
  await sink.done;
  assert.is(sink.body, pieces(5));
  assert.equal(bed.askedTargets, ['t1', 't2']);
  await bed.stop();
});

// Guards against callers that wait in vain for a request which certainly did not run.
test('a stream that no target ran is refused at once as not run, with the time until budget is expected', async () => {
  const { bed } = await startWithoutBudget(reject, streamTo(2));
  const sink = run(bed, forwardStream);
  await sink.done;
  assert.is(statusOf(sink), 503);
  const retryAfterMs = sink.error?.answer.retryAfterMs ?? 0;
  assert.ok(retryAfterMs > WINDOW_MS / 2, `${retryAfterMs} ms`);
  assert.equal(bed.askedTargets, ['t1']);
  await bed.stop();
});

// Guards against "not run" for a request whose target may have run it.
test('a stream that may have run waits until its deadline and is never reported as not run', async () => {
  const { bed, budget } = await startWithoutBudget(reset, streamTo(2));
  const sink = run(bed, forwardStream, { timeoutMs: 200 });
  await untilWaiting(budget);
  await sink.done;
  assert.is.not(sink.error?.answer.execution, 'not-run');
  assert.equal(bed.askedTargets, ['t1']);
  assert.is(budget.waiting, 0);
  await bed.stop();
});

// Guards against a silent run that is given up for a retry that the budget does not have.
test('a silent run is left only while the retry budget pays for the next attempt', async () => {
  const { bed, budget } = await startWithoutBudget(
    streamThen(3, () => undefined),
    streamTo(4),
  );
  bed.answersProbes = false;
  const sink = run(bed, forwardStream);
  await new Promise((resolve) => setTimeout(resolve, 800));
  assert.equal(bed.askedTargets, ['t1']);
  assert.is(sink.outcome, 'open');
  budget.borrow(performance.now(), 1);
  await sink.done;
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(sink.outcome, 'ended');
  await bed.stop();
});

test('a stream whose caller leaves while it waits withdraws its request', async () => {
  const { bed, budget } = await startWithoutBudget(streamThen(3, destroy), streamTo(5));
  const sink = run(bed, forwardStream);
  await untilWaiting(budget);
  sink.leave();
  assert.is(budget.waiting, 0);
  await bed.stop();
});

// Guards against a refusal that says nothing about when budget comes.
test('a rejected call without a retry in time is refused as not run, with a Retry-After', async () => {
  const { bed } = await startWithoutBudget(reject, streamTo(2));
  const sink = run(bed, forwardCall, { streaming: false, repeatable: false, maxTargets: 1 });
  await sink.done;
  assert.is(statusOf(sink), 503);
  assert.ok((sink.error?.answer.retryAfterMs ?? 0) > WINDOW_MS / 2);
  await bed.stop();
});

// Guards against a call that ends because its hedge got no retry.
test('a call goes on when the retry budget has none for its hedge', async () => {
  const slow: Behaviour = (request, response) =>
    void setTimeout(() => {
      beginAnswer(request, response);
      response.end('done');
    }, 150);
  const { bed } = await startWithoutBudget(slow, slow);
  const route = { streaming: false, repeatable: true, maxTargets: 2, objectiveMs: 60 };
  const sink = run(bed, forwardCall, route);
  await sink.done;
  assert.is(sink.body, 'done');
  assert.equal(bed.askedTargets, ['t1']);
  await bed.stop();
});

test.run();
