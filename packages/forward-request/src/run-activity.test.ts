import { createManualTime } from '@limelead/stand-ins';
import { INITIAL_GAP_ESTIMATE } from '@limelead/suspect-silence';
import { TargetDirectory } from '@limelead/track-service-targets';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import RunActivity, { type RunActivityOptions } from './run-activity.js';
import { createTarget } from './silence.fixture.js';

const policy = {
  suspicionFactor: 6,
  minSilenceMs: 140,
  maxSilenceMs: 233,
  hedge: false,
  probeFirst: false,
};

function create() {
  const { clock, jump } = createManualTime();
  const directory = new TargetDirectory(clock);
  directory.replaceAll([createTarget('t1'), createTarget('t2')]);
  const startRun = (overrides: Partial<RunActivityOptions> = {}): RunActivity =>
    new RunActivity({
      requestId: 'r1',
      target: createTarget('t1'),
      resumesFromReplica: false,
      policy,
      maxPrefillMs: 5_000,
      maxPauseMs: 700,
      ...{ clock, directory },
      onSilent: () => undefined,
      ...overrides,
    });
  const sendPieces = (run: RunActivity, gapMs: number): void => {
    for (let piece = 0; piece < 60; piece += 1) {
      jump(gapMs);
      run.recordActivity();
    }
  };
  return { clock, directory, jump, startRun, sendPieces };
}

test('a run with steady gaps has a low limit, and a run that resumes it starts with the same gaps', () => {
  const { startRun, sendPieces } = create();
  const run = startRun();
  assert.is(run.maxSilenceMs(), 5_000);
  sendPieces(run, 30);
  assert.is(run.maxSilenceMs(), policy.minSilenceMs);
  const next = startRun({ resumesFromReplica: true, carried: run.carry() });
  assert.is(Math.round(next.carry().meanMs), 30);
  next.recordActivity();
  assert.is(next.maxSilenceMs(), policy.minSilenceMs, 'the limit does not start anew');
});

test('the gaps of a moved run are scaled by the pace of the next target relative to the old one', () => {
  const { directory, jump, startRun, sendPieces } = create();
  const slow = startRun();
  sendPieces(slow, 75);
  directory.recordAdvertisedPace('t1', 2.5);
  const carried = slow.carry();
  assert.is(Math.round(carried.meanMs), 30);
  directory.recordAdvertisedPace('t2', 2);
  const next = startRun({ target: createTarget('t2'), carried });
  for (let piece = 0; piece < 2; piece += 1) {
    jump(60);
    next.recordActivity();
  }
  assert.is(Math.round(next.carry().meanMs), 30, 'a gap of 60 ms is the usual one there');
});

test('a prefill of another run raises the limit by the gaps that the service showed beside prefills', () => {
  const { directory, startRun, sendPieces } = create();
  const run = startRun();
  const meter = directory.pace.createMeter(createTarget('t1'));
  sendPieces(run, 30);
  const endPrefill = directory.startReadingPrompt('t1');
  assert.is(run.maxSilenceMs(), policy.minSilenceMs, 'no such gap was seen yet');
  for (let at = 0; at <= 1_800; at += 180) {
    meter.recordPieces(1, at);
  }
  assert.is(run.maxSilenceMs(), 180 * 1.25);
  endPrefill();
  assert.is(run.maxSilenceMs(), policy.minSilenceMs);
});

test('a piece ends a row of missing entries', () => {
  const { startRun } = create();
  const run = startRun({ resumesFromReplica: true });
  run.missedProbes = 1;
  run.recordActivity();
  assert.is(run.missedProbes, 0);
});

// Guards against a run that is taken for silent because this VM itself did not read it.
test('a run whose reading is paused counts as active, and its silence starts anew afterwards', () => {
  const { clock, jump, startRun } = create();
  const activity = startRun();
  activity.recordActivity();
  const silentMs = (): number => clock.now() - activity.lastActivityAtMs;
  jump(40);
  assert.is(silentMs(), 40);
  activity.setReadPaused(false);
  assert.is(silentMs(), 40);
  activity.setReadPaused(true);
  jump(900);
  assert.is(silentMs(), 0);
  activity.setReadPaused(false);
  jump(30);
  assert.is(silentMs(), 30);
});

// Guards against limits that shrink or grow with each target that is tried and sends nothing.
test('a run without pieces passes on the gaps that it began with, whatever the pace of its target became', () => {
  const { directory, startRun, sendPieces } = create();
  const first = startRun();
  sendPieces(first, 30);
  const carried = first.carry();
  const second = startRun({ target: createTarget('t2'), resumesFromReplica: true, carried });
  const unstarted = startRun({ target: createTarget('t2') });
  directory.recordAdvertisedPace('t2', 5);
  assert.equal(second.carry(), carried);
  assert.equal(unstarted.carry(), INITIAL_GAP_ESTIMATE);
});

test.run();
