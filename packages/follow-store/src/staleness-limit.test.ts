/**
 * Guards against changes that are received too late after an outage of the store or a lost
 * connection, because a lost call is detected only when it times out.
 */
import { createManualTime, type ManualTime } from '@limelead/stand-ins';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { IGNORED_EVENTS } from './ignored-events.fixture.js';
import {
  STORE_RESPONSE_TIMEOUT_MS,
  StoreFollower,
  type StoreChanges,
  type StoreFault,
  type StoreList,
  type StorePort,
} from './index.js';

/** The follower's option, and the limit that the tests check. */
const LIMITS = { maxStalenessMs: 2_000 };
/** Duration of a call that the store answers at once. */
const ROUND_TRIP_MS = 4;
/** Time for a few uninterrupted watches. */
const CALM_MS = 5_000;
/** Step between the tested times of a disruption. */
const STEP_MS = 50;

type Answer = E.Either<StoreFault, StoreChanges>;

/** A watch that waits for a change. */
interface WaitingCall {
  isDropped: boolean;
  answer(): void;
}

/** A store that can drop calls without an answer, including waiting ones. */
class UnreliableStore implements StorePort {
  private revision = 1;
  private isSilent = false;
  /** The client keeps using a connection until a call on it fails. */
  private isConnectionDead = false;
  private readonly waiting = new Set<WaitingCall>();

  constructor(private readonly time: ManualTime) {}

  stopAnswering(): void {
    this.isSilent = true;
    this.dropWaitingCalls();
  }

  resumeAnswering(): void {
    this.isSilent = false;
  }

  /** Drops the calls on open connections; a new connection works. */
  killConnections(): void {
    this.isConnectionDead = true;
    this.dropWaitingCalls();
  }

  /** Accepts a change; returns its revision. */
  change(): number {
    this.revision += 1;
    [...this.waiting].filter(({ isDropped }) => !isDropped).forEach((call) => call.answer());
    return this.revision;
  }

  list(): Promise<E.Either<StoreFault, StoreList>> {
    if (this.dropsCalls) {
      return this.dropCall(STORE_RESPONSE_TIMEOUT_MS);
    }
    return new Promise((resolve) => {
      const list = E.right({ items: [], revision: this.revision });
      this.time.timers.after(ROUND_TRIP_MS, () => resolve(list));
    });
  }

  watch(since: number, waitMs: number): Promise<Answer> {
    if (this.dropsCalls) {
      return this.dropCall(waitMs + STORE_RESPONSE_TIMEOUT_MS);
    }
    return new Promise((resolve) => {
      const { timers } = this.time;
      const call: WaitingCall = {
        isDropped: false,
        answer: () => {
          this.waiting.delete(call);
          resolve(E.right({ changes: this.listChanges(since), revision: this.revision }));
        },
      };
      this.waiting.add(call);
      timers.after(this.revision > since ? ROUND_TRIP_MS : Math.max(waitMs, ROUND_TRIP_MS), () =>
        call.isDropped ? undefined : call.answer(),
      );
      timers.after(waitMs + STORE_RESPONSE_TIMEOUT_MS, () => this.fail(resolve));
    });
  }

  private get dropsCalls(): boolean {
    return this.isSilent || this.isConnectionDead;
  }

  private listChanges(since: number): StoreChanges['changes'] {
    return this.revision > since ? [{ kind: 'gone', key: 'a' }] : [];
  }

  private dropWaitingCalls(): void {
    this.waiting.forEach((call) => {
      call.isDropped = true;
    });
  }

  private dropCall(afterMs: number): Promise<E.Either<StoreFault, never>> {
    return new Promise((resolve) => {
      this.time.timers.after(afterMs, () => this.fail(resolve));
    });
  }

  private fail(resolve: (answer: E.Either<StoreFault, never>) => void): void {
    this.isConnectionDead = false;
    resolve(E.left('silent'));
  }
}

/** Runs a follower of a small fleet with the longest delays, which follows the store itself. */
function follow(time: ManualTime, port: StorePort) {
  const received = { revision: 0, atMs: 0 };
  const record = ({ revision }: { revision: number }): void => {
    if (revision > received.revision) {
      Object.assign(received, { revision, atMs: time.clock.now() });
    }
  };
  const follower = new StoreFollower({
    ...LIMITS,
    port,
    clock: time.clock,
    timers: time.timers,
    random: { next: () => 0 },
    countFollowers: () => 6,
    mustFollow: () => true,
    followsForPeers: () => false,
    readRevision: () => received.revision,
    peersRetry: () => false,
    startupWaitMs: () => 0,
    events: { ...IGNORED_EVENTS, onList: record, onChanges: record },
  });
  void follower.run();
  return { follower, received };
}

/** Runs a disruption; returns the time until a change that the store accepts right after it is received. */
async function measureDelay(
  disrupt: (store: UnreliableStore, time: ManualTime) => Promise<void>,
): Promise<number> {
  const time = createManualTime();
  const store = new UnreliableStore(time);
  const { follower, received } = follow(time, store);
  await time.advance(CALM_MS);
  await disrupt(store, time);
  const acceptedAtMs = time.clock.now();
  const revision = store.change();
  await time.advance(2 * CALM_MS);
  follower.stop();
  assert.is(received.revision, revision, 'the change is received');
  return received.atMs - acceptedAtMs;
}

/** The longest result for all times from 0 to `untilMs`. */
async function findLongest(
  untilMs: number,
  measure: (atMs: number) => Promise<number>,
): Promise<number> {
  let maxDelayMs = 0;
  for (let atMs = 0; atMs <= untilMs; atMs += STEP_MS) {
    maxDelayMs = Math.max(maxDelayMs, await measure(atMs));
  }
  return maxDelayMs;
}

function assertInTime(maxDelayMs: number): void {
  assert.ok(maxDelayMs <= LIMITS.maxStalenessMs, `a change was received after ${maxDelayMs} ms`);
}

test('a change is received in time after an outage of any length', async () => {
  const maxDelayMs = await findLongest(12_000, (silentMs) =>
    measureDelay(async (store, time) => {
      store.stopAnswering();
      await time.advance(silentMs);
      store.resumeAnswering();
    }),
  );
  assertInTime(maxDelayMs);
});

test('a change is received in time after the connection is lost at any time', async () => {
  const maxDelayMs = await findLongest(4_000, (calmMs) =>
    measureDelay(async (store, time) => {
      store.change();
      await time.advance(calmMs);
      store.killConnections();
    }),
  );
  assertInTime(maxDelayMs);
});

test.run();
