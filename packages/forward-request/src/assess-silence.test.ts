import { test } from 'uvu';
import * as assert from 'uvu/assert';
import assessSilence, { type RunSilence } from './assess-silence.js';

const sending: RunSilence = {
  isWriting: true,
  runSilentMs: 0,
  targetSilentMs: 0,
  maxSilenceMs: 300,
  isDomainSuspected: false,
};
const reading: RunSilence = { ...sending, isWriting: false, maxSilenceMs: 5_000 };

test('a run is given up when both it and its target exceed the silence limit', () => {
  assert.is(assessSilence({ ...sending, runSilentMs: 299, targetSilentMs: 299 }), 'wait');
  assert.is(assessSilence({ ...sending, runSilentMs: 300, targetSilentMs: 300 }), 'give-up');
});

test('a silent run is kept longer, but not forever, while its target sends to other runs', () => {
  assert.is(assessSilence({ ...sending, runSilentMs: 600, targetSilentMs: 20 }), 'wait');
  assert.is(assessSilence({ ...sending, runSilentMs: 1_200, targetSilentMs: 20 }), 'give-up');
});

test('losses in the failure domain shorten the wait', () => {
  const silent = { ...sending, runSilentMs: 200, targetSilentMs: 200 };
  assert.is(assessSilence(silent), 'wait');
  assert.is(assessSilence({ ...silent, isDomainSuspected: true }), 'give-up');
});

test('the target of a silent run is probed during prefill, but not too often', () => {
  assert.is(assessSilence({ ...reading, runSilentMs: 1_400, targetSilentMs: 1_400 }), 'wait');
  const long = { ...reading, runSilentMs: 1_600, targetSilentMs: 1_600 };
  assert.is(assessSilence(long), 'probe');
  assert.is(assessSilence({ ...long, probedAgoMs: 100 }), 'wait');
  assert.is(assessSilence({ ...long, probedAgoMs: 700 }), 'probe');
  const suspected = { ...reading, runSilentMs: 60, targetSilentMs: 60, isDomainSuspected: true };
  assert.is(assessSilence(suspected), 'probe');
});

test('a run is given up when its prefill exceeds the limit, even if the target is active', () => {
  const mute = { ...reading, runSilentMs: 5_000, targetSilentMs: 10, probedAgoMs: 10 };
  assert.is(assessSilence(mute), 'give-up');
});

test.run();
