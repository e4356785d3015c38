/** Guards against a request that two targets work on: not every target ends a run whose connection closes. */
import { delay, systemTimers } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import {
  beginAnswer,
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

const WHOLE = [1, 2, 3, 4].map(formatPiece).join('');
/** The time for which two targets may work on one request. */
const ALLOWED_MS = 400;

/** A first target that works on a run until it is stopped, and a second one that answers at once. */
async function start(first: Behaviour) {
  const state = { isWorking: false, stops: 0, workedAtSecond: false };
  const working: Behaviour = (request, response, seen) => {
    state.isWorking = true;
    first(request, response, seen);
  };
  const second: Behaviour = (request, response, seen) => {
    state.workedAtSecond ||= state.isWorking;
    streamTo(4)(request, response, seen);
  };
  const bed = await TestBed.start(working, second);
  const closeRun = bed.stopRun;
  bed.stopRun = (target, runId) => {
    state.stops += 1;
    closeRun(target, runId);
    const wasWorking = state.isWorking;
    state.isWorking = false;
    return wasWorking ? 200 : 404;
  };
  const sink = new RecordingSink();
  const forward = (route = {}): Promise<void> => {
    forwardStream(bed.context, createAdmittedRequest(route), sink);
    return sink.done;
  };
  return { bed, forward, sink, state };
}

/** Writes two pieces and calls `follow`. */
const writeTwo =
  (follow: (end: () => void) => void): Behaviour =>
  (request, response) => {
    beginAnswer(request, response);
    response.write(formatPiece(1) + formatPiece(2), () => follow(() => response.destroy()));
  };

test('a stream whose connection breaks does not go on while its target works on', async () => {
  const { bed, forward, sink, state } = await start(writeTwo((end) => end()));
  await forward();
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.not(state.workedAtSecond);
});

test('a broken run is asked to stop again while its target is busy with the stop', async () => {
  const { bed, forward, sink, state } = await start(writeTwo((end) => end()));
  const { stopRun } = bed;
  let isBusy = true;
  bed.stopRun = (target, runId) => {
    const status = isBusy ? 409 : stopRun(target, runId);
    isBusy = false;
    return status;
  };
  await forward();
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.not(state.workedAtSecond);
});

test('a stream goes on at once when the target of its broken connection is gone', async () => {
  const { bed, forward, sink } = await start(
    writeTwo((end) => void bed.stopTarget('t1').then(end)),
  );
  const startedAtMs = performance.now();
  await forward();
  const tookMs = performance.now() - startedAtMs;
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.ok(tookMs < ALLOWED_MS, `${tookMs} ms`);
  assert.ok(bed.directory.isSuspected('t1'));
});

/** Accepts the request and reads its prompt without end. */
const readOn: Behaviour = () => undefined;
/** Another target could read the prompt until 740 ms after the start. */
const SHORT = { objectiveMs: 200, timeoutMs: 1_000 };

test('a run that reads its prompt for too long is stopped before another target gets the request', async () => {
  const { bed, forward, sink, state } = await start(readOn);
  await forward(SHORT);
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.is(state.stops, 1);
  assert.not(state.workedAtSecond);
});

test('a run that reads its prompt stays while another target could read it later', async () => {
  const { bed, forward, sink, state } = await start((request, response, seen) => {
    setTimeout(() => streamTo(4)(request, response, seen), 600);
  });
  await forward(SHORT);
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.is(state.stops, 0);
  assert.equal(bed.askedTargets, ['t1']);
});

test('a run that reads its prompt for too long stays at a target that does not stop it', async () => {
  const { bed, forward, sink, state } = await start((request, response, seen) => {
    setTimeout(() => streamTo(4)(request, response, seen), 850);
  });
  bed.stopRun = () => 404;
  await forward(SHORT);
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.equal(bed.askedTargets, ['t1']);
  assert.is(bed.directory.get('t1')?.inFlight, 0);
  assert.not(state.workedAtSecond);
});

test('a stream that its target ends at the stop is not complete', async () => {
  const { bed, forward, sink, state } = await start((request, response) => {
    beginAnswer(request, response);
    bed.stopRun = () => {
      setTimeout(() => {
        state.isWorking = false;
        response.end();
      }, 100);
      return 200;
    };
  });
  await forward(SHORT);
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.not(state.workedAtSecond);
});

test('a run that was kept is left when its target is lost', async () => {
  const { bed, forward, sink } = await start(readOn);
  bed.stopRun = () => 404;
  setTimeout(() => (bed.answersProbes = false), 2_750);
  await forward({ objectiveMs: 2_000, timeoutMs: 5_000 });
  await bed.stop();
  assert.is(sink.body, WHOLE);
  assert.equal(bed.askedTargets, ['t1', 't2']);
});

test('a run ends at its target when its caller leaves', async () => {
  const { bed, forward, sink, state } = await start(writeTwo(() => undefined));
  void forward();
  await sink.until(() => sink.body !== '');
  sink.leave();
  await delay(systemTimers, ALLOWED_MS);
  await bed.stop();
  assert.is(state.stops, 1);
  assert.not(state.isWorking);
});

test('a run ends at its target when its VM shuts down', async () => {
  const { bed, forward, sink, state } = await start(writeTwo(() => undefined));
  void forward();
  await sink.until(() => sink.body !== '');
  sink.shutDown();
  await bed.context.runStopper.settle(ALLOWED_MS);
  await bed.stop();
  assert.not(state.isWorking);
});

test('a run that was left at a silent target ends once the target goes on', async () => {
  const { bed, forward, sink, state } = await start(writeTwo(() => undefined));
  const { stopRun } = bed;
  let isSilent = true;
  bed.answersProbes = false;
  bed.stopRun = (target, runId) => {
    setTimeout(() => isSilent || stopRun(target, runId), 600);
    return undefined;
  };
  await forward();
  assert.is(sink.body, WHOLE);
  isSilent = false;
  await delay(systemTimers, 1_000);
  await bed.stop();
  assert.not(state.isWorking);
});

test('a stop of an earlier run does not end a later one of the request at the same target', async () => {
  const { bed, forward, sink, state } = await start(writeTwo(() => undefined));
  void forward();
  await sink.until(() => sink.body !== '');
  sink.leave();
  bed.context.runStopper.onRunStarted('r1', 't1');
  await delay(systemTimers, ALLOWED_MS);
  await bed.stop();
  assert.is(state.stops, 0);
});

test.run();
