import type { RequestTargetAdvice } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  admit,
  begin,
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

const turnAway: Behaviour = (_, response) => {
  response.writeHead(503, { 'not-run': '1' }).end();
};

/** Plays one streamed request and gives what its caller got. */
async function play(behaviours: Behaviour[], ...admission: Parameters<typeof admit>) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardStream(bed.context, admit(...admission), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink };
}

test('a broken stream goes on from its copy in another failure domain, each piece once', async () => {
  const { bed, sink } = await play([streamThen(3, destroy), streamTo(6)]);
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 6));
  assert.equal(bed.seen, [
    { target: 't1', lastPiece: 0, copyTo: 't2', from: '' },
    { target: 't2', lastPiece: 3, copyTo: 't1', from: 't2' },
  ]);
});

test('a piece that was cut is not passed on; the next target sends it whole', async () => {
  const cutInside: Behaviour = (request, response) => {
    begin(request, response);
    response.write(formatPiece(1) + formatPiece(2).slice(0, 9), () =>
      setImmediate(() => response.destroy()),
    );
  };
  const { sink } = await play([cutInside, streamTo(3)]);
  assert.is(sink.body, pieces(1, 3));
});

test('a stream that ends properly inside a piece is not taken as whole', async () => {
  const endInside: Behaviour = (request, response) => {
    begin(request, response);
    response.end(formatPiece(1) + 'id: 2\n');
  };
  const { sink } = await play([endInside, streamTo(2)]);
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 2));
});

test('a silent target is left well within the pause that the caller bears', async () => {
  const { bed, sink } = await play([streamThen(2, () => undefined), streamTo(4)]);
  assert.is(sink.body, pieces(1, 4));
  assert.equal(bed.asked, ['t1', 't2']);
});

test('a continued run that sends nothing is given up too', async () => {
  const mute: Behaviour = (request, response) => {
    begin(request, response);
    response.flushHeaders();
  };
  const { bed, sink } = await play(
    [streamThen(2, destroy), mute, streamTo(4)],
    {},
    { affinityKey: 's' },
  );
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 4));
  assert.ok(bed.seen.length >= 3);
});

test('a client that comes back with its last piece gets only what follows', async () => {
  const { bed, sink } = await play([streamTo(5)], {}, { lastPiece: 3 });
  assert.is(sink.body, pieces(4, 5));
  assert.is(bed.seen[0]?.lastPiece, 3);
});

test('a client that comes back is sent to the target that still keeps its prompt', async () => {
  const bed = await TestBed.start(streamTo(5), streamTo(5), streamTo(5));
  bed.kept.set('t3', 'another session');
  const sink = new RecordingSink();
  forwardStream(bed.context, admit({}, { lastPiece: 3, affinityKey: 'session' }), sink);
  await sink.done;
  assert.equal(bed.asked, ['t3']);
  assert.is(sink.body, pieces(4, 5));
  await bed.stop();
});

test('a caller with too little time for its prompt is refused as not run, unless a target keeps it', async () => {
  const comeBack = async (kept: string) => {
    const bed = await TestBed.start(streamTo(5), streamTo(5));
    bed.kept.set('t2', kept);
    const sink = new RecordingSink();
    const late = admit({ timeoutMs: 1_000 }, { lastPiece: 3, affinityKey: 'session' });
    bed.context.reading.note(late, 2_000);
    forwardStream(bed.context, late, sink);
    await sink.done;
    await bed.stop();
    return { bed, sink };
  };
  const refused = await comeBack('another');
  assert.is(refused.sink.error?.kind, 'deadline-unreachable');
  assert.is(refused.sink.error?.answer.execution, 'not-run');
  assert.equal(refused.bed.asked, []);
  const served = await comeBack('session');
  assert.is(served.sink.body, pieces(4, 5));
  assert.equal(served.bed.asked, ['t2']);
});

test('pieces that come a second time are dropped, and a gap is no answer', async () => {
  const repeat: Behaviour = (request, response) => {
    begin(request, response);
    response.end(pieces(1, 2) + pieces(1, 3));
  };
  const repeated = await play([repeat]);
  assert.is(repeated.sink.body, pieces(1, 3));
  const skip: Behaviour = (request, response) => {
    begin(request, response);
    response.end(formatPiece(1) + formatPiece(3));
  };
  const skipped = await play([skip, streamTo(3)]);
  assert.is(skipped.sink.body, pieces(1, 3));
});

test('a target that takes no work is passed over without a trace in the answer', async () => {
  const { bed, sink } = await play([turnAway, streamTo(2)]);
  assert.is(sink.body, pieces(1, 2));
  assert.equal(bed.asked, ['t1', 't2']);
});

test('a stream that may not be repeated is cut where its target breaks, and sent once', async () => {
  const { bed, sink } = await play([streamThen(2, destroy), streamTo(4)], { repeatable: false });
  assert.is(sink.outcome, 'aborted');
  assert.is(sink.body, pieces(1, 2));
  assert.equal(bed.asked, ['t1']);
});

test('when the time is over the caller is told at once, and the run is cancelled', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const slow: Behaviour = (request) => request.socket.once('close', onClosed);
  const { sink } = await play([slow], { timeoutMs: 120 });
  assert.is(sink.outcome, 'refused');
  assert.is(sink.error?.kind, 'deadline-passed');
  await closed;
});

test('a caller who leaves takes the run along', async () => {
  let onClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => (onClosed = resolve));
  const watched: Behaviour = (request, response, seen) => {
    request.socket.once('close', onClosed);
    streamThen(1, () => undefined)(request, response, seen);
  };
  const bed = await TestBed.start(watched);
  const sink = new RecordingSink();
  forwardStream(bed.context, admit(), sink);
  await sink.until(() => sink.body !== '');
  sink.leave();
  await closed;
  assert.is(bed.directory.get('t1')?.inFlight, 0);
  await bed.stop();
});

test('an answer that is no stream goes to the caller as it is, a failure after a second try', async () => {
  const fail: Behaviour = (request, response) => {
    response.writeHead(500, { id: String(request.headers['id']) }).end('no');
  };
  const { bed, sink } = await play([fail, streamTo(2)]);
  assert.is(sink.body, pieces(1, 2));
  assert.equal(bed.asked, ['t1', 't2']);
  const refuse: Behaviour = (request, response) => {
    response.writeHead(400, { id: String(request.headers['id']) }).end('bad');
  };
  const refused = await play([refuse, streamTo(2)]);
  assert.is(refused.sink.status, 400);
  assert.is(refused.sink.body, 'bad');
});

test('no more targets run a stream than its route allows, however often it breaks', async () => {
  const stalls = [1, 2, 3, 4].map((last) => streamThen(last, () => undefined));
  const { bed, sink } = await play([...stalls, streamTo(9)], { maxTargets: 2 });
  assert.is(sink.outcome, 'aborted');
  assert.is(bed.seen.length, 2);
});

test('targets that were lost do not count among those that ran a stream', async () => {
  const bed = await TestBed.start(
    streamThen(1, destroy),
    streamThen(2, destroy),
    streamThen(3, destroy),
    streamTo(5),
  );
  const sink = new RecordingSink();
  forwardStream(bed.context, admit({ maxTargets: 2 }), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.is(sink.body, pieces(1, 5));
});

test('a stream that every target turns away is refused at once, as not run', async () => {
  let asked = 0;
  const refuse: Behaviour = (request, response, seen) => {
    asked += 1;
    turnAway(request, response, seen);
  };
  const startedAtMs = performance.now();
  const { sink } = await play([refuse, refuse], { timeoutMs: 60_000 });
  assert.is(sink.error?.kind, 'overloaded');
  assert.is(sink.error?.answer.execution, 'not-run');
  assert.is(asked, 16);
  assert.ok(performance.now() - startedAtMs < 9_000, 'gave up before the session does');
});

test('a stream that ends without a piece has no time of its first piece', async () => {
  const endEmpty: Behaviour = (request, response) => {
    begin(request, response);
    response.end();
  };
  const { bed, sink } = await play([endEmpty]);
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

test('a stream goes where the scheduler advises, though its own domain would come first', async () => {
  const bed = await TestBed.start(streamTo(2), streamTo(2));
  bed.askTarget = advise('t2');
  const sink = new RecordingSink();
  forwardStream(bed.context, admit(), sink);
  await sink.done;
  assert.equal(bed.asked, ['t2']);
  await bed.stop();
});

test('an advised target that this VM just found lost is not taken', async () => {
  const bed = await TestBed.start(streamTo(2), streamTo(2));
  bed.askTarget = advise('t2');
  bed.directory.observe('t2', { kind: 'lost' });
  const sink = new RecordingSink();
  forwardStream(bed.context, admit(), sink);
  await sink.done;
  assert.equal(bed.asked, ['t1']);
  await bed.stop();
});

test('a copy stands where the scheduler advises, unless this VM just found that target lost', async () => {
  const bed = await TestBed.start(streamTo(2), streamTo(2), streamTo(2));
  bed.askTarget = advise('t1', 't3');
  const copyTo = async (): Promise<string | undefined> => {
    const sink = new RecordingSink();
    forwardStream(bed.context, admit(), sink);
    await sink.done;
    return bed.seen.at(-1)?.copyTo;
  };
  assert.is(await copyTo(), 't3');
  bed.directory.observe('t3', { kind: 'lost' });
  assert.is(await copyTo(), 't2');
  await bed.stop();
});

test('a caller that leaves while the scheduler is asked sends nothing to any target', async () => {
  const bed = await TestBed.start(streamTo(2));
  let answer = (): void => undefined;
  let hasStopped = false;
  bed.askTarget = (_, receive) => {
    answer = () => receive({ outcome: 'advised', target: 't1', scheduler: 'vm', afterMs: 1 });
    return () => (hasStopped = true);
  };
  const sink = new RecordingSink();
  forwardStream(bed.context, admit(), sink);
  sink.leave();
  answer();
  assert.ok(hasStopped);
  assert.is(bed.directory.get('t1')?.inFlight, 0);
  assert.equal(bed.asked, []);
  await bed.stop();
});

test.run();
