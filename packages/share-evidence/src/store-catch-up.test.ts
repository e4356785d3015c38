import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import StoreCatchUp from './store-catch-up.js';

interface Conditions {
  isStoreAnswering: boolean;
  isFollowingStore: boolean;
  hasStoreCallFailed?: boolean;
  revision?: number;
  /** Bytes of the configuration that the peer knows. */
  bytes?: number;
}

function create(conditions: Conditions) {
  const {
    isStoreAnswering,
    isFollowingStore,
    hasStoreCallFailed = false,
    revision = 5,
    bytes = 500,
  } = conditions;
  const { clock: time, timers, advance } = createManualTime(0);
  const clock = { at: 0, now: () => Math.max(clock.at, time.now()) };
  const requested: number[] = [];
  const catchUp = new StoreCatchUp({
    clock,
    timers,
    readSyncState: () => ({
      isStoreAnswering: isStoreAnswering,
      hasStoreCallFailed: hasStoreCallFailed,
      revision,
      configuration: 2,
      configurationBytes: 0,
    }),
    isFollowingStore: () => isFollowingStore,
    listPeers: () => [['peer', { revision: 9, configuration: 3, configurationBytes: bytes }]],
    requestItems: (_, since) => requested.push(since),
  });
  return { clock, requested, catchUp, advance };
}

test('a VM that the store does not answer sends one request, and another after the answer or its timeout', () => {
  const { clock, requested, catchUp } = create({ isStoreAnswering: false, isFollowingStore: true });
  catchUp.requestItemsIfDue();
  clock.at = 1_000;
  catchUp.requestItemsIfDue();
  assert.equal(requested, [5]);
  catchUp.onItemsReceived();
  catchUp.requestItemsIfDue();
  assert.equal(requested, [5, 5]);
  clock.at = 2_500;
  catchUp.requestItemsIfDue();
  assert.equal(requested, [5, 5, 5]);
});

test('while the store answers this VM, a peer is asked only after a delay', () => {
  const { clock, requested, catchUp } = create({ isStoreAnswering: true, isFollowingStore: true });
  catchUp.requestItemsIfDue();
  clock.at = 999;
  catchUp.requestItemsIfDue();
  assert.equal(requested, []);
  clock.at = 1_000;
  catchUp.requestItemsIfDue();
  assert.equal(requested, [5]);
});

test('a VM that relies on store followers asks as soon as a peer has a newer revision', () => {
  const { requested, catchUp } = create({ isStoreAnswering: true, isFollowingStore: false });
  catchUp.requestItemsIfDue();
  assert.equal(requested, [5]);
  catchUp.onItemsReceived();
  catchUp.requestItemsIfDue();
  assert.equal(requested, [5, 5]);
});

test('a starting VM reads a large configuration from the store while the store is available', () => {
  const start = { isStoreAnswering: false, isFollowingStore: true, revision: 0, bytes: 400_000 };
  const { clock, requested, catchUp } = create(start);
  catchUp.requestItemsIfDue();
  assert.equal(requested, []);
  clock.at = 1_800;
  catchUp.requestItemsIfDue();
  assert.equal(requested, [0]);
  const failed = create({ ...start, hasStoreCallFailed: true });
  failed.catchUp.requestItemsIfDue();
  assert.equal(failed.requested, [0]);
});

test('an outdated VM asks a peer when its own watch times out, without a heartbeat', async () => {
  for (const [bytes, waitMs] of [
    [500, 1_000],
    [400_000, 1_800],
  ] as const) {
    const { requested, catchUp, advance } = create({
      isStoreAnswering: true,
      isFollowingStore: true,
      bytes,
    });
    catchUp.requestItemsIfDue();
    await advance(waitMs - 1);
    assert.equal(requested, []);
    await advance(1);
    assert.equal(requested, [5]);
  }
});

test.run();
