/** A keeper beside a seat whose answers the test chooses. */
import { PortFault } from '@limelead/errors';
import { createManualTime, type ManualTime } from '@limelead/stand-ins';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DutyElector from './duty-elector.js';
import LeasedDuty from './leased-duty.js';
import type { LeaseAnswer } from './duty-lease.js';

const LEASE_MS = 3_000;
/** Longer than a VM without a place keeps the duty, and than the pause behind its release. */
const OUT_OF_PLACE_MS = 3_500;
const RELEASE_PAUSE_MS = 6_000;

interface Scene {
  time: ManualTime;
  duty: LeasedDuty;
  keeper: DutyElector;
  place: number | undefined;
  cutOffSinceMs: number | undefined;
  /** What the store says to who asks; its time is that of the call. */
  seat: 'ours' | 'taken' | 'free';
  token: number;
  releaseIsHeard: boolean;
  takes: number;
  releases: number;
}

function createScene(): Scene {
  const time = createManualTime(0);
  const { clock, timers } = time;
  const duty = new LeasedDuty({
    holder: 'a',
    clock,
    timeOfDay: clock,
    reacquireDelayMs: 0,
    marginMs: 100,
    onAcquired: () => undefined,
    onLost: () => undefined,
    onClockJump: () => undefined,
  });
  const answer = (): E.Either<never, LeaseAnswer> => {
    const { seat, token } = scene;
    return seat === 'ours'
      ? E.right({ kind: seat, token, sentAtMs: clock.now(), ttlMs: LEASE_MS })
      : E.right({ kind: seat });
  };
  const keeper = new DutyElector({
    lease: {
      acquire: () => async () => {
        scene.takes += 1;
        return answer();
      },
      renew: () => async () => answer(),
      release: () => async () => {
        scene.releases += 1;
        if (!scene.releaseIsHeard) {
          return E.left(new PortFault('timeout', 'maybe', 'unheard'));
        }
        // Whoever takes it next has a new token.
        scene.token += 1;
        return E.right(undefined);
      },
    },
    duty,
    clock,
    timers,
    random: { next: () => 0 },
    ttlMs: LEASE_MS,
    readCandidateRank: () => scene.place,
    readIsolatedSinceMs: () => scene.cutOffSinceMs,
    isHeldInStore: () => scene.duty.sentAtMs !== undefined,
    onFault: () => undefined,
  });
  const scene: Scene = {
    time,
    duty,
    keeper,
    place: 0,
    cutOffSinceMs: undefined,
    seat: 'ours',
    token: 1,
    releaseIsHeard: true,
    takes: 0,
    releases: 0,
  };
  keeper.start();
  return scene;
}

test('a lease whose release was not heard of is released again and never used again', async () => {
  const scene = createScene();
  await scene.time.advance(1_000);
  assert.is(scene.duty.permit(0)?.token, 1);
  scene.releaseIsHeard = false;
  scene.place = undefined;
  await scene.time.advance(OUT_OF_PLACE_MS);
  assert.is(scene.releases, 1);
  // The release is still on its way, so the key stands when this VM asks again.
  scene.place = 0;
  scene.releaseIsHeard = true;
  await scene.time.advance(RELEASE_PAUSE_MS);
  assert.is(scene.releases, 2);
  assert.is(scene.duty.permit(0)?.token, 2);
});

test('who found the duty taken, however often, asks again soon', async () => {
  const scene = createScene();
  scene.seat = 'taken';
  await scene.time.advance(20_000);
  for (let step = 0; step < 6; step += 1) {
    const before = scene.takes;
    await scene.time.advance(800);
    assert.ok(scene.takes > before, `step ${step}`);
  }
  scene.seat = 'ours';
  await scene.time.advance(800);
  assert.is(scene.duty.permit(0)?.token, 1);
});

test('a holder that is cut off gives the duty up, and takes it again where nobody does', async () => {
  const scene = createScene();
  await scene.time.advance(5_000);
  scene.cutOffSinceMs = 5_000;
  await scene.time.advance(1_900);
  assert.is(scene.releases, 0);
  await scene.time.advance(500);
  assert.is(scene.releases, 1);
  assert.is(scene.duty.permit(0), undefined);
  await scene.time.advance(3_500);
  assert.is(scene.takes, 1);
  await scene.time.advance(20_000);
  assert.is(scene.releases, 1);
  assert.is(scene.duty.permit(0)?.token, 2);
});

test.run();
