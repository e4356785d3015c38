import { test } from 'uvu';
import * as assert from 'uvu/assert';
import assessSilence, { type RunSilence } from './assess-silence.js';

const sending: RunSilence = {
  isWriting: true,
  runSilentMs: 0,
  targetSilentMs: 0,
  maxSilenceMs: 200,
  isSuspected: false,
  isProbing: false,
  peerAnswerAgoMs: Infinity,
};
const reading: RunSilence = { ...sending, isWriting: false, maxSilenceMs: 5_000 };

/** A run and its target that are silent for the same time. */
function silentFor(ms: number, overrides: Partial<RunSilence> = {}): RunSilence {
  return { ...sending, runSilentMs: ms, targetSilentMs: ms, ...overrides };
}

test('a writing run beyond its limit is not given up; its target is probed at once', () => {
  assert.is(assessSilence(silentFor(199)), 'wait');
  assert.is(assessSilence(silentFor(200)), 'probe');
});

test('a target is probed only once at a time, and not again before 250 ms', () => {
  assert.is(assessSilence(silentFor(400, { isProbing: true })), 'wait');
  assert.is(assessSilence(silentFor(400, { probedAgoMs: 249 })), 'wait');
  assert.is(assessSilence(silentFor(450, { probedAgoMs: 250 })), 'probe');
});

test('pieces of other runs show that a target is up, but a run that stays silent is looked up there', () => {
  assert.is(assessSilence(silentFor(399, { targetSilentMs: 20 })), 'wait');
  assert.is(assessSilence(silentFor(400, { targetSilentMs: 20 })), 'probe');
});

test('losses of the target or in its failure domain shorten the wait for the probe', () => {
  assert.is(assessSilence(silentFor(80)), 'wait');
  assert.is(assessSilence(silentFor(80, { isSuspected: true })), 'probe');
  assert.is(assessSilence(silentFor(79, { isSuspected: true })), 'wait');
});

test('a peer answer younger than the last piece replaces the first probe, but not the following ones', () => {
  assert.is(assessSilence(silentFor(200, { peerAnswerAgoMs: 10 })), 'wait');
  assert.is(assessSilence(silentFor(200, { peerAnswerAgoMs: 201 })), 'probe');
  // This VM alone may have lost the target, while peers still reach it.
  assert.is(assessSilence(silentFor(450, { peerAnswerAgoMs: 10 })), 'probe');
});

// Guards against a request that goes on elsewhere while its first target works on it.
test('a run that writes is never taken from a target that answers, however long it is silent', () => {
  for (const silentMs of [560, 700, 1_400, 60_000]) {
    assert.is(assessSilence(silentFor(silentMs, { probedAgoMs: 10 })), 'wait');
    assert.is(assessSilence(silentFor(silentMs, { probedAgoMs: 300 })), 'probe');
  }
});

test('the target of a silent run is probed during prefill, but not too often', () => {
  assert.is(assessSilence({ ...reading, runSilentMs: 1_400, targetSilentMs: 1_400 }), 'wait');
  const long = { ...reading, runSilentMs: 1_600, targetSilentMs: 1_600 };
  assert.is(assessSilence(long), 'probe');
  assert.is(assessSilence({ ...long, isProbing: true }), 'wait');
  assert.is(assessSilence({ ...long, probedAgoMs: 100 }), 'wait');
  assert.is(assessSilence({ ...long, probedAgoMs: 700 }), 'probe');
  const suspected = { ...reading, runSilentMs: 60, targetSilentMs: 60, isSuspected: true };
  assert.is(assessSilence(suspected), 'probe');
});

test('a run is given up when its prefill exceeds the limit; its target is lost only if it is silent as well', () => {
  const mute = { ...reading, runSilentMs: 5_000, probedAgoMs: 10 };
  assert.is(assessSilence({ ...mute, targetSilentMs: 10 }), 'give-up-run');
  assert.is(assessSilence({ ...mute, targetSilentMs: 5_000 }), 'give-up-target');
});

test.run();
