import type { ServiceTarget } from '@limelead/types';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WAITING_TOKENS } from './held-tokens.js';
import { TargetDirectory, type HeldRun, type ReportedTargetLoad } from './index.js';

const TARGET: ServiceTarget = {
  ...{ id: 't1', service: 's', host: 'h', port: 1, failureDomain: 'd', slots: 32 },
  leaving: false,
};

function createRun(requestId: string, overrides: Partial<HeldRun> = {}): HeldRun {
  return {
    requestId,
    service: 's',
    promptTokens: 8_000,
    tokens: 9_000,
    isWhole: true,
    ...overrides,
  };
}

function create() {
  const time = { now: 1_000 };
  const directory = new TargetDirectory({ now: () => time.now });
  directory.replaceAll([TARGET]);
  const report = (peer: string, load: Partial<ReportedTargetLoad>): void => {
    const whole = { requests: 1, reading: 0, copies: 0, slowness: 1, ...load };
    directory.onPeerLoad(peer, { targets: new Map([['t1', whole]]), advice: 0 });
  };
  return { time, directory, report, held: () => directory.tokens.at('t1', 's') };
}

// Guards against memory that is counted twice, or stays counted after its run ended.
test('runs and replicas count until they end, once', () => {
  const { directory, held } = create();
  const endRun = directory.startRequest('t1', createRun('r1'));
  const endReplica = directory.addReplica('t1', createRun('r2', { tokens: 5_000 }));
  directory.startRequest('t1');
  assert.is(held(), 14_000);
  endRun();
  endRun();
  assert.is(held(), 5_000);
  endReplica();
  assert.is(held(), 0);
});

// Guards against a target that looks empty because its load comes from a VM of an older release.
test('a load without tokens counts with the mean of the service', () => {
  const { directory, report, held } = create();
  report('new', { tokens: 20_000 });
  report('old', { requests: 2, copies: 1 });
  assert.is(held(), 20_000);
  directory.tokens.recordRunTokens('s', 9_000);
  assert.is(held(), 47_000);
  report('old', { requests: 1 });
  assert.is(held(), 29_000);
  directory.onPeerLoad('new', { targets: new Map(), advice: 0 });
  assert.is(held(), 9_000);
});

// Guards against two VMs that are advised the last room of one target.
test('an advised run and its replica count until their VM reports them', () => {
  const { directory, report, held } = create();
  directory.recordAdvisedRequest({ peer: 'a', advice: 3, target: 't1', tokens: 9_000 });
  directory.recordAdvisedRequest({
    peer: 'b',
    advice: 1,
    target: 'x',
    copyTo: 't1',
    tokens: 7_000,
  });
  assert.is(held(), 16_000);
  directory.onPeerLoad('a', { targets: new Map(), advice: 3 });
  assert.is(held(), 7_000);
  report('b', { requests: 0, copies: 1, tokens: 7_000 });
  assert.is(held(), 16_000 - 9_000 + 7_000);
});

// Guards against a report that frees memory which later runs took, and against an outdated one.
test('a report raises the count for a second, and never lowers it', () => {
  const { time, directory, held } = create();
  directory.startRequest('t1', createRun('r1'));
  const report = (usedTokens: number, waiting = 0): void =>
    directory.tokens.recordReport('t1', 's', { usedTokens, runs: [] }, waiting);
  report(1_000);
  assert.is(held(), 9_000);
  report(30_000);
  assert.is(held(), 30_000);
  directory.startRequest('t1', createRun('r2'));
  assert.is(held(), 39_000);
  time.now += 1_001;
  assert.is(held(), 18_000);
  report(18_000, 1);
  assert.is(held(), 18_000 + WAITING_TOKENS);
  directory.apply([{ kind: 'gone', id: 't1' }]);
  assert.is(held(), 18_000);
});

// Guards against an expected output beyond what the request allows, and against guesses.
test('the expected output is the mean of the service, at most what the request states', () => {
  const { directory } = create();
  const { tokens } = directory;
  assert.is(tokens.expectedOutput('s', 2_000), 2_000);
  tokens.recordOutput('s', 130);
  assert.is(tokens.expectedOutput('s', 2_000), 2_000);
  directory.startRequest('t1', createRun('r1'));
  directory.startRequest('t1', createRun('r2', { isWhole: false }));
  const runs = [
    { requestId: 'r1', tokens: 8_060, pieces: 10 },
    { requestId: 'r2', tokens: 9_000, pieces: 10 },
    { requestId: 'other', tokens: 9_000, pieces: 10 },
  ];
  tokens.recordReport('t1', 's', { usedTokens: 17_060, runs }, 0);
  assert.is(tokens.expectedOutput('s', 2_000), 780);
  assert.is(tokens.expectedOutput('s', 300), 300);
});

// Guards against a changed choice of target by the usual spread of prompt lengths.
test('a prompt counts as several only from twice the usual length', () => {
  const { directory } = create();
  const { tokens } = directory;
  assert.equal(
    [8_000, 15_000].map((prompt) => tokens.recordPrompt('s', prompt)),
    [0, 0],
  );
  assert.is(tokens.recordPrompt('s', 40_000), 3);
  assert.is(tokens.recordPrompt('s', 0), 0);
});

test.run();
