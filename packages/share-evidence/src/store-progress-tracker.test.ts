import { test } from 'uvu';
import * as assert from 'uvu/assert';
import StoreProgressTracker, { type StoreProgress } from './store-progress-tracker.js';

const PROGRESS: StoreProgress = {
  revision: 9,
  configuration: 3,
  configurationBytes: 500,
  ageMs: 50,
};

function create() {
  const clock = { at: 10_000, now: () => clock.at };
  const known = { revision: 9, configuration: 3 };
  const sent: [string, StoreProgress][] = [];
  const tracker = new StoreProgressTracker({
    clock,
    readSyncState: () => ({
      ...known,
      configurationBytes: 500,
      isStoreAnswering: true,
      hasStoreCallFailed: false,
    }),
    listPeers: () => ['a', 'b'],
    send: (peers, progress) => peers.forEach((peer) => sent.push([peer, progress])),
  });
  return { clock, known, sent, tracker };
}

test('a VM is current while progress arrives, and has to follow the store itself once it is late', () => {
  const { clock, tracker } = create();
  assert.not(tracker.isCurrent);
  tracker.onProgress('a', PROGRESS);
  assert.ok(tracker.isCurrent);
  clock.at += 1_649;
  assert.ok(tracker.isCurrent);
  clock.at += 1;
  assert.not(tracker.isCurrent);
});

test('progress with an unknown revision counts once this VM has caught up', () => {
  const { known, sent, tracker } = create();
  tracker.onProgress('a', { ...PROGRESS, revision: 12 });
  assert.not(tracker.isCurrent);
  assert.equal(sent, []);
  known.revision = 12;
  tracker.applyPendingProgress();
  assert.ok(tracker.isCurrent);
  assert.equal(sent, [['b', { ...PROGRESS, revision: 12 }]]);
});

test('the same progress from many peers is forwarded once, and newer progress after an interval', () => {
  const { clock, sent, tracker } = create();
  tracker.onProgress('a', PROGRESS);
  tracker.onProgress('b', PROGRESS);
  assert.is(sent.length, 1);
  clock.at += 699;
  tracker.onProgress('a', PROGRESS);
  assert.is(sent.length, 1);
  clock.at += 1;
  tracker.onProgress('a', PROGRESS);
  assert.is(sent.length, 2);
});

test('a new revision is forwarded at once', () => {
  const { known, sent, tracker } = create();
  tracker.onStoreAnswered();
  known.revision = 10;
  tracker.onStoreAnswered();
  assert.equal(
    sent.map(([peer, { revision }]) => `${peer} ${revision}`),
    ['a 9', 'b 9', 'a 10', 'b 10'],
  );
});

test('progress that was delayed on its way keeps its age', () => {
  const { tracker } = create();
  tracker.onProgress('a', { ...PROGRESS, ageMs: 1_800 });
  assert.not(tracker.isCurrent);
});

test('each VM reads a large configuration from the store itself', () => {
  const { known, tracker } = create();
  tracker.onProgress('a', {
    revision: 12,
    configuration: 4,
    configurationBytes: 400_000,
    ageMs: 0,
  });
  known.revision = 12;
  tracker.applyPendingProgress();
  assert.not(tracker.isCurrent);
  known.configuration = 4;
  assert.ok(tracker.isCurrent);
});

test.run();
