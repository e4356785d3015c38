import { createIsolatedGuard, type TargetState } from '@limelead/quarantine-requests';
import { steadyClock, systemTimers, type RequestTargetAdvice } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HIGH_WATER_BYTES } from './decide-reading.js';
import forwardStream from './forward-stream.js';
import {
  createAdmittedRequest,
  beginAnswer,
  formatPiece,
  RecordingSink,
  streamThen,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const destroy = (response: { destroy(): void }): void => response.destroy();

function pieces(first: number, last: number): string {
  return Array.from({ length: last - first + 1 }, (_, index) => formatPiece(first + index)).join(
    '',
  );
}

const reject: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};

/** Forwards one streamed request and returns the sink of its caller. */
async function forward(
  behaviours: Behaviour[],
  ...admission: Parameters<typeof createAdmittedRequest>
) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(...admission), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink };
}

test('a broken stream resumes from its replica in another failure domain, with each piece once', async () => {
  const { bed, sink } = await forward([streamThen(3, destroy), streamTo(6)]);
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 6));
  assert.equal(bed.seen, [
    { target: 't1', lastPiece: 0, copyTo: 't2', from: '' },
    { target: 't2', lastPiece: 3, copyTo: 't1', from: 't2' },
  ]);
});

/** Shuts down while the targets have begun a stream, or while it waits if there are none. */
async function shutDownDuring(
  behaviours: Behaviour[],
  isUnderWay?: (sink: RecordingSink) => boolean,
) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  while (isUnderWay?.(sink) === false || bed.seen.length < behaviours.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  sink.shutDown();
  await bed.stop();
  return sink;
}

test('a stream that waits when its VM shuts down is refused as not run', async () => {
  const sink = await shutDownDuring([]);
  assert.is(sink.outcome, 'refused');
  assert.is(sink.error?.kind, 'shutting-down');
  assert.is(sink.error?.answer.execution, 'not-run');
});

test('a stream that may run when its VM shuts down is not reported as not run', async () => {
  const sink = await shutDownDuring([() => undefined]);
  assert.is(sink.outcome, 'refused');
  assert.is(sink.error?.kind, 'outcome-unknown');
  assert.is(sink.error?.answer.execution, 'unknown');
});

test('a stream that has begun when its VM shuts down is broken off', async () => {
  const sink = await shutDownDuring([streamThen(2, () => undefined)], ({ body }) => body !== '');
  assert.is(sink.outcome, 'aborted');
  assert.is(sink.error?.kind, 'outcome-unknown');
});

test('an incomplete piece is not delivered; the next target sends it again', async () => {
  const cutInside: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.write(formatPiece(1) + formatPiece(2).slice(0, 9), () =>
      setImmediate(() => response.destroy()),
    );
  };
  const { sink } = await forward([cutInside, streamTo(3)]);
  assert.is(sink.body, pieces(1, 3));
});

test('a stream that ends within a piece is not complete', async () => {
  const endInside: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.end(formatPiece(1) + 'id: 2\n');
  };
  const { sink } = await forward([endInside, streamTo(2)]);
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 2));
});

test('a stream resumes at another target when its target falls silent', async () => {
  const { bed, sink } = await forward([streamThen(2, () => undefined), streamTo(4)]);
  assert.is(sink.body, pieces(1, 4));
  assert.equal(bed.askedTargets, ['t1', 't2']);
});

test('a resumed run that sends nothing is given up as well', async () => {
  const mute: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.flushHeaders();
  };
  const { bed, sink } = await forward(
    [streamThen(2, destroy), mute, streamTo(4)],
    {},
    { affinityKey: 's' },
  );
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 4));
  assert.ok(bed.seen.length >= 3);
});

test('a client that resumes after its last piece receives only the following pieces', async () => {
  const { bed, sink } = await forward([streamTo(5)], {}, { lastPiece: 3 });
  assert.is(sink.body, pieces(4, 5));
  assert.is(bed.seen[0]?.lastPiece, 3);
});

test('a client that resumes is sent to the target that caches its prompt', async () => {
  const bed = await TestBed.start(streamTo(5), streamTo(5), streamTo(5));
  bed.cachedPrompts.set('t3', 'another session');
  const sink = new RecordingSink();
  forwardStream(
    bed.context,
    createAdmittedRequest({}, { lastPiece: 3, affinityKey: 'session' }),
    sink,
  );
  await sink.done;
  assert.equal(bed.askedTargets, ['t3']);
  assert.is(sink.body, pieces(4, 5));
  await bed.stop();
});

test('a request whose prompt cannot be read in time is refused as not run, unless a target caches it', async () => {
  const resume = async (cachedSessions: string) => {
    const bed = await TestBed.start(streamTo(5), streamTo(5));
    bed.cachedPrompts.set('t2', cachedSessions);
    const sink = new RecordingSink();
    const late = createAdmittedRequest(
      { timeoutMs: 1_000 },
      { lastPiece: 3, affinityKey: 'session' },
    );
    bed.context.prefill.record(late, 2_000);
    forwardStream(bed.context, late, sink);
    await sink.done;
    await bed.stop();
    return { bed, sink };
  };
  const refused = await resume('another');
  assert.is(refused.sink.error?.kind, 'deadline-unreachable');
  assert.is(refused.sink.error?.answer.execution, 'not-run');
  assert.equal(refused.bed.askedTargets, []);
  const served = await resume('session');
  assert.is(served.sink.body, pieces(4, 5));
  assert.equal(served.bed.askedTargets, ['t2']);
});

test('repeated pieces are dropped, and a missing piece breaks the attempt', async () => {
  const repeat: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.end(pieces(1, 2) + pieces(1, 3));
  };
  const repeated = await forward([repeat]);
  assert.is(repeated.sink.body, pieces(1, 3));
  const skip: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.end(formatPiece(1) + formatPiece(3));
  };
  const skipped = await forward([skip, streamTo(3)]);
  assert.is(skipped.sink.body, pieces(1, 3));
});

test('a rejection by a target does not show in the answer', async () => {
  const { bed, sink } = await forward([reject, streamTo(2)]);
  assert.is(sink.body, pieces(1, 2));
  assert.equal(bed.askedTargets, ['t1', 't2']);
});

test('a stream that is not repeatable is aborted when its target breaks off', async () => {
  const { bed, sink } = await forward([streamThen(2, destroy), streamTo(4)], { repeatable: false });
  assert.is(sink.outcome, 'aborted');
  assert.is(sink.body, pieces(1, 2));
  assert.equal(bed.askedTargets, ['t1']);
});

test('at the deadline the request is refused and its run is cancelled', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const slow: Behaviour = (request) => request.socket.once('close', onClosed);
  const { sink } = await forward([slow], { timeoutMs: 120 });
  assert.is(sink.outcome, 'refused');
  assert.is(sink.error?.kind, 'deadline-passed');
  await closed;
});

test('a run is cancelled when its caller leaves', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const watched: Behaviour = (request, response, seen) => {
    request.socket.once('close', onClosed);
    streamThen(1, () => undefined)(request, response, seen);
  };
  const bed = await TestBed.start(watched);
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.until(() => sink.body !== '');
  sink.leave();
  await closed;
  assert.is(bed.directory.get('t1')?.inFlight, 0);
  await bed.stop();
});

test('an answer that is not a stream is returned unchanged, unless it is a failure that can be retried', async () => {
  const fail: Behaviour = (request, response) => {
    response.writeHead(500, { id: String(request.headers['id']) }).end('no');
  };
  const { bed, sink } = await forward([fail, streamTo(2)]);
  assert.is(sink.body, pieces(1, 2));
  assert.equal(bed.askedTargets, ['t1', 't2']);
  const refuse: Behaviour = (request, response) => {
    response.writeHead(400, { id: String(request.headers['id']) }).end('bad');
  };
  const refused = await forward([refuse, streamTo(2)]);
  assert.is(refused.sink.status, 400);
  assert.is(refused.sink.body, 'bad');
});

test('a stream that breaks repeatedly runs at no more targets than its route allows', async () => {
  const stalls = [1, 2, 3, 4].map((last) => streamThen(last, () => undefined));
  const { bed, sink } = await forward([...stalls, streamTo(9)], { maxTargets: 2 });
  assert.is(sink.outcome, 'aborted');
  assert.is(bed.seen.length, 2);
});

/** Forwards a stream that breaks behind its first, second and third piece. */
async function forwardOverBreaks(state: TargetState): Promise<RecordingSink> {
  const bed = await TestBed.start(
    streamThen(1, destroy),
    streamThen(2, destroy),
    streamThen(3, destroy),
    streamTo(5),
  );
  // The targets are lost: a break alone leaves one that is up.
  bed.answersProbes = false;
  bed.stopRun = () => undefined;
  const sink = new RecordingSink();
  const { log, metrics } = bed.context;
  const guard = createIsolatedGuard({
    ...{ clock: steadyClock, timers: systemTimers, log, metrics },
    checkTarget: () => Promise.resolve(state),
  });
  forwardStream({ ...bed.context, guard }, createAdmittedRequest({ maxTargets: 2 }), sink);
  await sink.done;
  await bed.stop();
  return sink;
}

test('lost targets do not count against the targets that a route allows', async () => {
  const sink = await forwardOverBreaks('running');
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 5));
});

test('a stream whose targets end behind their first pieces is quarantined', async () => {
  const sink = await forwardOverBreaks('ended');
  assert.is(sink.outcome, 'aborted');
  assert.is(sink.body, pieces(1, 3));
});

test('a stream that every target rejects is refused early and as not run', async () => {
  let asked = 0;
  const refuse: Behaviour = (request, response, seen) => {
    asked += 1;
    reject(request, response, seen);
  };
  const startedAtMs = performance.now();
  const { sink } = await forward([refuse, refuse], { timeoutMs: 60_000 });
  assert.is(sink.error?.kind, 'overloaded');
  assert.is(sink.error?.answer.execution, 'not-run');
  assert.is(asked, 16);
  assert.ok(performance.now() - startedAtMs < 9_000, 'gives up before the session core does');
});

test('a stream that ends without a piece records no time to the first piece', async () => {
  const endEmpty: Behaviour = (request, response) => {
    beginAnswer(request, response);
    response.end();
  };
  const { bed, sink } = await forward([endEmpty]);
  assert.is(sink.outcome, 'ended');
  assert.not.match(bed.context.metrics.render(), /limelead_first_piece_ms/);
});

/** A scheduler that always advises the same target. */
function advise(target: string, copyTo?: string): RequestTargetAdvice {
  return (_, receive) => {
    receive({ outcome: 'advised', target, copyTo, scheduler: 'vm', afterMs: 1 });
    return () => undefined;
  };
}

test('advice of the scheduler has precedence over the target in the own failure domain', async () => {
  const bed = await TestBed.start(streamTo(2), streamTo(2));
  bed.askTarget = advise('t2');
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  assert.equal(bed.askedTargets, ['t2']);
  await bed.stop();
});

test('an advised target that this VM observed as lost is not used', async () => {
  const bed = await TestBed.start(streamTo(2), streamTo(2));
  bed.askTarget = advise('t2');
  bed.directory.observe('t2', { kind: 'lost' });
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  assert.equal(bed.askedTargets, ['t1']);
  await bed.stop();
});

test('the advised replica target is used unless this VM observed it as lost', async () => {
  const bed = await TestBed.start(streamTo(2), streamTo(2), streamTo(2));
  bed.askTarget = advise('t1', 't3');
  const copyTo = async (): Promise<string | undefined> => {
    const sink = new RecordingSink();
    forwardStream(bed.context, createAdmittedRequest(), sink);
    await sink.done;
    return bed.seen.at(-1)?.copyTo;
  };
  assert.is(await copyTo(), 't3');
  bed.directory.observe('t3', { kind: 'lost' });
  assert.is(await copyTo(), 't2');
  await bed.stop();
});

test('nothing is sent if the caller leaves while the scheduler is asked for advice', async () => {
  const bed = await TestBed.start(streamTo(2));
  let answer = (): void => undefined;
  let hasStopped = false;
  bed.askTarget = (_, receive) => {
    answer = () => receive({ outcome: 'advised', target: 't1', scheduler: 'vm', afterMs: 1 });
    return () => (hasStopped = true);
  };
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  sink.leave();
  answer();
  assert.ok(hasStopped);
  assert.is(bed.directory.get('t1')?.inFlight, 0);
  assert.equal(bed.askedTargets, []);
  await bed.stop();
});

// Guards against a run that is moved, or a target that is taken for slow, because this VM itself did
// not read: the caller takes longer than the run may be silent, and gets each piece once, in order.
test('a stream whose caller reads slowly is paused, keeps its target and is complete', async () => {
  const padding = 'x'.repeat(16 * 1024);
  const last = 400;
  const large = (number: number): string => `id: ${number}\ndata: ${padding}\n\n`;
  const writeAll: Behaviour = (request, response) => {
    beginAnswer(request, response);
    for (let number = 1; number <= last; number += 1) {
      response.write(large(number));
    }
    response.end();
  };
  const bed = await TestBed.start(writeAll, writeAll);
  const sink = new RecordingSink();
  sink.waitingBytes = HIGH_WATER_BYTES;
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.until(() => sink.body !== '');
  assert.is(bed.context.readPauses.pausedReads, 1);
  const before = sink.body.length;
  await new Promise((resolve) => setTimeout(resolve, 700));
  assert.is(sink.outcome, 'open');
  // What was read before the pause may still arrive, but not the whole answer.
  assert.ok(sink.body.length < before + 2 * HIGH_WATER_BYTES);
  sink.setWaitingBytes(0);
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.equal(bed.askedTargets, ['t1']);
  const numbers = Array.from({ length: last }, (_, index) => large(index + 1)).join('');
  assert.ok(sink.body === numbers);
  assert.is(bed.context.readPauses.pausedReads, 0);
});

// Guards against a failed answer of a target that is buffered without a limit.
test('a complete answer in place of a stream is counted while it is buffered', async () => {
  const body = 'x'.repeat(100_000);
  const counted: number[] = [];
  class CountingSink extends RecordingSink {
    override addHeldBytes(bytes: number): void {
      super.addHeldBytes(bytes);
      counted.push(this.heldBytes);
    }
  }
  const bed = await TestBed.start((request, response) => {
    response.writeHead(404, { id: String(request.headers['id']) }).end(body);
  });
  const sink = new CountingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.body, body);
  assert.is(Math.max(...counted), body.length);
  assert.is(sink.heldBytes, 0);
});

test.run();
