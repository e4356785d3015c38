/** Tests an elector with a lease whose answers the test controls. */
import { PortFault } from '@limelead/errors';
import { createManualTime, type ManualTime } from '@limelead/stand-ins';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import DutyElector from './duty-elector.js';
import LeasedDuty from './leased-duty.js';
import type { LeaseAnswer } from './duty-lease.js';

const LEASE_MS = 3_000;
/** Longer than a VM that is no candidate keeps the duty, and than the backoff after a release. */
const NOT_CANDIDATE_MS = 3_500;
const RELEASE_BACKOFF_MS = 6_000;

interface TestSetup {
  time: ManualTime;
  duty: LeasedDuty;
  elector: DutyElector;
  candidateRank: number | undefined;
  isolatedSinceMs: number | undefined;
  /** The store's answers to calls. */
  leaseState: 'ours' | 'taken' | 'free';
  token: number;
  isReleaseAnswered: boolean;
  acquisitions: number;
  releases: number;
}

function createSetup(): TestSetup {
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
    const { leaseState, token } = setup;
    return leaseState === 'ours'
      ? E.right({ kind: leaseState, token, sentAtMs: clock.now(), ttlMs: LEASE_MS })
      : E.right({ kind: leaseState });
  };
  const elector = new DutyElector({
    lease: {
      acquire: () => async () => {
        setup.acquisitions += 1;
        return answer();
      },
      renew: () => async () => answer(),
      release: () => async () => {
        setup.releases += 1;
        if (!setup.isReleaseAnswered) {
          return E.left(new PortFault('timeout', 'maybe', 'unheard'));
        }
        // The next holder has a new token.
        setup.token += 1;
        return E.right(undefined);
      },
    },
    duty,
    clock,
    timers,
    random: { next: () => 0 },
    ttlMs: LEASE_MS,
    readCandidateRank: () => setup.candidateRank,
    readIsolatedSinceMs: () => setup.isolatedSinceMs,
    isHeldInStore: () => setup.duty.sentAtMs !== undefined,
    onFault: () => undefined,
  });
  const setup: TestSetup = {
    time,
    duty,
    elector,
    candidateRank: 0,
    isolatedSinceMs: undefined,
    leaseState: 'ours',
    token: 1,
    isReleaseAnswered: true,
    acquisitions: 0,
    releases: 0,
  };
  elector.start();
  return setup;
}

test('a lease whose release got no answer is released again and never used again', async () => {
  const setup = createSetup();
  await setup.time.advance(1_000);
  assert.is(setup.duty.permit(0)?.token, 1);
  setup.isReleaseAnswered = false;
  setup.candidateRank = undefined;
  await setup.time.advance(NOT_CANDIDATE_MS);
  assert.is(setup.releases, 1);
  // The release has not been carried out yet, so the key still exists.
  setup.candidateRank = 0;
  setup.isReleaseAnswered = true;
  await setup.time.advance(RELEASE_BACKOFF_MS);
  assert.is(setup.releases, 2);
  assert.is(setup.duty.permit(0)?.token, 2);
});

test('a VM that found the duty held any number of times asks again soon', async () => {
  const setup = createSetup();
  setup.leaseState = 'taken';
  await setup.time.advance(20_000);
  for (let step = 0; step < 6; step += 1) {
    const before = setup.acquisitions;
    await setup.time.advance(800);
    assert.ok(setup.acquisitions > before, `step ${step}`);
  }
  setup.leaseState = 'ours';
  await setup.time.advance(800);
  assert.is(setup.duty.permit(0)?.token, 1);
});

test('an isolated holder releases the duty, and acquires it again if no other VM does', async () => {
  const setup = createSetup();
  await setup.time.advance(5_000);
  setup.isolatedSinceMs = 5_000;
  await setup.time.advance(1_900);
  assert.is(setup.releases, 0);
  await setup.time.advance(500);
  assert.is(setup.releases, 1);
  assert.is(setup.duty.permit(0), undefined);
  await setup.time.advance(3_500);
  assert.is(setup.acquisitions, 1);
  await setup.time.advance(20_000);
  assert.is(setup.releases, 1);
  assert.is(setup.duty.permit(0)?.token, 2);
});

test.run();
