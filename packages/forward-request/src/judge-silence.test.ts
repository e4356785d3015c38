import { test } from 'uvu';
import * as assert from 'uvu/assert';
import judgeSilence, { type SilenceSituation } from './judge-silence.js';

const sending: SilenceSituation = {
  isSending: true,
  runSilentMs: 0,
  targetSilentMs: 0,
  boundMs: 300,
  isDomainDoubtful: false,
};
const reading: SilenceSituation = { ...sending, isSending: false, boundMs: 5_000 };

test('a run is given up when it and its target are silent for longer than its gaps explain', () => {
  assert.is(judgeSilence({ ...sending, runSilentMs: 299, targetSilentMs: 299 }), 'wait');
  assert.is(judgeSilence({ ...sending, runSilentMs: 300, targetSilentMs: 300 }), 'give-up');
});

test('a target that sends to others is there; its silent run is waited for, but not for ever', () => {
  assert.is(judgeSilence({ ...sending, runSilentMs: 600, targetSilentMs: 20 }), 'wait');
  assert.is(judgeSilence({ ...sending, runSilentMs: 1_200, targetSilentMs: 20 }), 'give-up');
});

test('doubt about the failure domain shortens the wait', () => {
  const silent = { ...sending, runSilentMs: 200, targetSilentMs: 200 };
  assert.is(judgeSilence(silent), 'wait');
  assert.is(judgeSilence({ ...silent, isDomainDoubtful: true }), 'give-up');
});

test('a run that reads its prompt is silent by nature; its target is asked, and not too often', () => {
  assert.is(judgeSilence({ ...reading, runSilentMs: 1_400, targetSilentMs: 1_400 }), 'wait');
  const long = { ...reading, runSilentMs: 1_600, targetSilentMs: 1_600 };
  assert.is(judgeSilence(long), 'ask');
  assert.is(judgeSilence({ ...long, askedAgoMs: 100 }), 'wait');
  assert.is(judgeSilence({ ...long, askedAgoMs: 700 }), 'ask');
  const doubted = { ...reading, runSilentMs: 60, targetSilentMs: 60, isDomainDoubtful: true };
  assert.is(judgeSilence(doubted), 'ask');
});

test('a run that reads for longer than any prompt takes has lost its answer', () => {
  const mute = { ...reading, runSilentMs: 5_000, targetSilentMs: 10, askedAgoMs: 10 };
  assert.is(judgeSilence(mute), 'give-up');
});

test.run();
