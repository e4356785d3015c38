import { createManualTime } from '@limelead/stand-ins';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import CatchUp from './catch-up.js';

interface Situation {
  isInTouch: boolean;
  isFollowing: boolean;
  isStoreAway?: boolean;
  revision?: number;
  /** Bytes of the configuration that the peer knows. */
  bytes?: number;
}

function create(situation: Situation) {
  const { isInTouch, isFollowing, isStoreAway = false, revision = 5, bytes = 500 } = situation;
  const { clock: time, timers, advance } = createManualTime(0);
  const clock = { at: 0, now: () => Math.max(clock.at, time.now()) };
  const asked: number[] = [];
  const catchUp = new CatchUp({
    clock,
    timers,
    readKnowledge: () => ({
      isInTouch,
      isStoreAway,
      revision,
      configuration: 2,
      configurationBytes: 0,
    }),
    isFollowing: () => isFollowing,
    listPeers: () => [['peer', { revision: 9, configuration: 3, configurationBytes: bytes }]],
    ask: (_, since) => asked.push(since),
  });
  return { clock, asked, catchUp, advance };
}

test('a VM that the store turns away asks once, and again when the answer came or is late', () => {
  const { clock, asked, catchUp } = create({ isInTouch: false, isFollowing: true });
  catchUp.check();
  clock.at = 1_000;
  catchUp.check();
  assert.equal(asked, [5]);
  catchUp.noteAnswer();
  catchUp.check();
  assert.equal(asked, [5, 5]);
  clock.at = 2_500;
  catchUp.check();
  assert.equal(asked, [5, 5, 5]);
});

test('while the store tells this VM what is new, a peer is asked only after a while', () => {
  const { clock, asked, catchUp } = create({ isInTouch: true, isFollowing: true });
  catchUp.check();
  clock.at = 999;
  catchUp.check();
  assert.equal(asked, []);
  clock.at = 1_000;
  catchUp.check();
  assert.equal(asked, [5]);
});

test('a VM for which others follow the store asks as soon as a peer knows more', () => {
  const { asked, catchUp } = create({ isInTouch: true, isFollowing: false });
  catchUp.check();
  assert.equal(asked, [5]);
  catchUp.noteAnswer();
  catchUp.check();
  assert.equal(asked, [5, 5]);
});

test('a VM that starts reads a large configuration from the store while that is there', () => {
  const start = { isInTouch: false, isFollowing: true, revision: 0, bytes: 400_000 };
  const { clock, asked, catchUp } = create(start);
  catchUp.check();
  assert.equal(asked, []);
  clock.at = 1_800;
  catchUp.check();
  assert.equal(asked, [0]);
  const away = create({ ...start, isStoreAway: true });
  away.catchUp.check();
  assert.equal(away.asked, [0]);
});

test('a VM that is behind looks again as soon as its own watch had its time, without a heartbeat', async () => {
  for (const [bytes, waitMs] of [
    [500, 1_000],
    [400_000, 1_800],
  ] as const) {
    const { asked, catchUp, advance } = create({ isInTouch: true, isFollowing: true, bytes });
    catchUp.check();
    await advance(waitMs - 1);
    assert.equal(asked, []);
    await advance(1);
    assert.equal(asked, [5]);
  }
});

test.run();
