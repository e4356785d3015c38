import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createAdmittedRequest, streamTo, TestBed } from './forwarding.fixture.js';
import describeRunMemory from './run-memory.js';

const FIRST = { isFirstAttempt: true, hasWritten: false };

async function withBed(run: (bed: TestBed) => void): Promise<void> {
  const bed = await TestBed.start(streamTo(1));
  try {
    run(bed);
  } finally {
    await bed.stop();
  }
}

// Guards against runs that wait for memory although the settings don't ask for it.
test('a run has no memory limit while placement by memory and pace is off', () =>
  withBed(({ context }) => {
    const off = { ...context, placesByMemoryAndPace: false };
    assert.is(describeRunMemory(off, createAdmittedRequest(), FIRST), undefined);
    assert.is.not(describeRunMemory(context, createAdmittedRequest(), FIRST), undefined);
  }));

// Guards against memory limits where nothing is known, as in deployments without sizes.
test('without a size of the prompt or of the memory only slots limit a run', () =>
  withBed(({ context }) => {
    const unknown = createAdmittedRequest({}, { promptTokens: 0 });
    assert.is(describeRunMemory(context, unknown, FIRST), undefined);
    const noTable = { ...context, readRouteTable: () => undefined };
    assert.is(describeRunMemory(noTable, createAdmittedRequest(), FIRST), undefined);
  }));

test('a run needs its prompt and its expected output', () =>
  withBed(({ context }) => {
    const stated = createAdmittedRequest({}, { maxOutputTokens: 30 });
    const memory = describeRunMemory(context, stated, FIRST);
    assert.equal([memory?.tokens, memory?.capacityTokens, memory?.isWhole], [40, 100, true]);
    assert.is(describeRunMemory(context, createAdmittedRequest(), FIRST)?.tokens, 10);
  }));

// Guards against streams that pause for longer than their route allows, since they wait for memory.
test('a run may wait until its objective, and a resumed one for the allowed pause, less the prefill', () =>
  withBed(({ context }) => {
    const admitted = createAdmittedRequest({ objectiveMs: 2_000, maxPauseMs: 600 });
    context.prefill.record(admitted, 100);
    const now = 5_000;
    const fixed = { ...context, clock: { now: () => now } };
    const read = (hasWritten: boolean) =>
      describeRunMemory(fixed, admitted, { isFirstAttempt: !hasWritten, hasWritten });
    assert.is(Math.round((read(false)?.lastResortAtMs ?? 0) - admitted.receivedAtMs), 1_930);
    assert.is(Math.round((read(true)?.lastResortAtMs ?? 0) - now), 530);
    assert.is(read(true)?.isWhole, false);
  }));

test.run();
