import { test } from 'uvu';
import * as assert from 'uvu/assert';
import forwardStream from './forward-stream.js';
import type RunActivity from './run-activity.js';
import {
  createAdmittedRequest,
  formatPiece,
  RecordingSink,
  streamThen,
  streamTo,
  TestBed,
  type Behaviour,
} from './forwarding.fixture.js';

/** Forwards one streamed request to the targets. */
async function forward(behaviours: Behaviour[]) {
  const bed = await TestBed.start(...behaviours);
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  await bed.stop();
  return { bed, sink };
}

test('a run that leaves a target which answers probes is no loss of the target or its domain', async () => {
  const { bed, sink } = await forward([streamThen(2, () => undefined), streamTo(4)]);
  assert.is(sink.outcome, 'ended');
  assert.equal(bed.askedTargets, ['t1', 't2']);
  assert.is(bed.directory.get('t1')?.health.lostAtMs, 0);
  assert.not(bed.directory.isSuspected('t1'));
  const { metrics } = bed.context;
  assert.is(metrics.counterValue('limelead_silences_total', { outcome: 'target-lost' }), 0);
});

test('a run that is silent beyond its limit at a target which answers is not sent again', async () => {
  const pauseMs = 380;
  const pausing = streamThen(2, (response) => {
    setTimeout(() => response.end(formatPiece(3)), pauseMs);
  });
  const { bed, sink } = await forward([pausing, pausing]);
  assert.is(sink.body, [1, 2, 3].map(formatPiece).join(''));
  assert.is(bed.askedTargets.length, 1);
});

// Guards against a request that two targets work on: not every target ends a run whose connection closes.
test('a run that is silent for long stays at a target that lists it', async () => {
  const pausing = streamThen(2, (response) => {
    setTimeout(() => response.end(formatPiece(3)), 1_800);
  });
  const bed = await TestBed.start(pausing, streamTo(4));
  bed.listedRuns = 'r1';
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.body, [1, 2, 3].map(formatPiece).join(''));
  assert.equal(bed.askedTargets, ['t1']);
});

test('a run that goes on while another target is sought stays, and is judged anew afterwards', async () => {
  const pausing: Behaviour = streamThen(2, (response) => {
    setTimeout(() => response.write(formatPiece(3)), 900);
    setTimeout(() => response.end(formatPiece(4)), 1_000);
  });
  const bed = await TestBed.start(pausing);
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.equal(bed.askedTargets, ['t1']);
  const { metrics } = bed.context;
  assert.is(metrics.counterValue('limelead_silent_runs_total', { outcome: 'returned' }), 1);
  assert.is(bed.directory.get('t1')?.inFlight, 0);
});

test('a dark target is left for one that is up', async () => {
  const bed = await TestBed.start(
    streamThen(2, () => undefined),
    streamTo(4),
  );
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.equal(bed.askedTargets, ['t1', 't2']);
});

test('a silent run is not left for a target that was lost and has not answered since', async () => {
  const pausing = streamThen(2, (response) => {
    setTimeout(() => response.end(formatPiece(3)), 1_200);
  });
  const bed = await TestBed.start(pausing, pausing);
  bed.answersProbes = false;
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  bed.directory.observe('t2', { kind: 'lost' });
  await sink.done;
  await bed.stop();
  assert.is(sink.outcome, 'ended');
  assert.equal(bed.askedTargets, ['t1']);
});

test('the limit of a run survives a move, so that a first pause at the next target is judged by known gaps', async () => {
  const steady: Behaviour = (request, response, seen) =>
    streamThen(seen.lastPiece + 1, (open) => {
      let number = seen.lastPiece + 2;
      const timer = setInterval(() => {
        open.write(formatPiece(number));
        number += 1;
        if (number > 12) {
          clearInterval(timer);
          open.destroy();
        }
      }, 5);
    })(request, response, seen);
  const limits: number[] = [];
  const bed = await TestBed.start(steady, streamTo(20));
  const { monitor } = bed.context.silence;
  bed.context.silence.monitor = (run) => {
    const stop = monitor.call(bed.context.silence, run);
    return () => {
      limits.push((run as RunActivity).carry().meanMs);
      stop();
    };
  };
  const sink = new RecordingSink();
  forwardStream(bed.context, createAdmittedRequest(), sink);
  await sink.done;
  await bed.stop();
  const [first = NaN, second = NaN] = limits;
  assert.ok(first < 60, 'the first run learned shorter gaps than the initial estimate');
  assert.ok(second <= first, 'the second run began with the estimate of the first one');
});

test.run();
