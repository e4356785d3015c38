/** Guards against a slow fleet start when all VMs list a rate-limited store at once. */
import { PagedList, StoreFollower, type StorePage } from '@limelead/follow-store';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import SimulatedTime from './simulated-time.fixture.js';

/** Response time of an idle store. */
const RESPONSE_MS = 4;
/** Period over which the VMs of a fleet start. */
const START_SPREAD_MS = 300;
const TEST_TIMEOUT_MS = 60_000;

interface StoreLoad {
  vms: number;
  pages: number;
  /** Reads above this rate are rejected. */
  readsPerSecond: number;
}

/** A store that counts its calls and rejects those above its rate. */
class RateLimitedStore {
  calls = 0;
  private currentSecond = 0;
  private readsInSecond = 0;

  constructor(
    private readonly time: SimulatedTime,
    private readonly load: StoreLoad,
  ) {}

  async readPage(afterKey: string | undefined): Promise<E.Either<'turned-away', StorePage>> {
    this.calls += 1;
    const now = this.time.now();
    const second = Math.floor(now / 1_000);
    this.readsInSecond = second === this.currentSecond ? this.readsInSecond + 1 : 1;
    this.currentSecond = second;
    const isAboveRate = this.readsInSecond > this.load.readsPerSecond;
    await this.wait(RESPONSE_MS);
    if (isAboveRate) {
      return E.left('turned-away');
    }
    const page = Number(afterKey ?? 0) + 1;
    const items = [{ key: String(page), value: Buffer.alloc(0), revision: 1 }];
    return E.right({ items, revision: 1, hasMore: page < this.load.pages });
  }

  private wait(milliseconds: Millis): Promise<void> {
    return new Promise((resolve) => this.time.after(milliseconds, resolve));
  }
}

/** Starts a fleet; returns the number of calls and the time at which the last VM had its list. */
async function startFleet(load: StoreLoad): Promise<{ calls: number; listedAtMs: Millis }> {
  const time = new SimulatedTime();
  const store = new RateLimitedStore(time, load);
  const generator = xoroshiro128plus(load.vms);
  const random = { next: () => uniformFloat64(generator) };
  let listedVms = 0;
  for (let vm = 0; vm < load.vms; vm += 1) {
    const pages = new PagedList(time, (afterKey) => store.readPage(afterKey));
    const follower: StoreFollower = new StoreFollower({
      port: {
        list: () => pages.read(),
        watch: async () => E.left('unreachable'),
      },
      maxStalenessMs: 2_000,
      clock: time,
      timers: time,
      random,
      countFollowers: () => load.vms,
      mustFollow: () => true,
      followsForPeers: () => false,
      readRevision: () => 0,
      peersRetry: () => false,
      startupWaitMs: () => 0,
      events: {
        onList: () => {
          listedVms += 1;
          follower.stop();
        },
        onChanges: () => undefined,
        onProcessingFailed: (thrown) => assert.unreachable(String(thrown)),
        onRevisionDecreased: () => undefined,
        onLost: () => undefined,
        onCallFailed: () => undefined,
        onRegained: () => undefined,
        onFollowingChanged: () => undefined,
      },
    });
    time.after(random.next() * START_SPREAD_MS, () => void follower.run());
  }
  await time.settleUntil(() => listedVms === load.vms, TEST_TIMEOUT_MS);
  assert.is(listedVms, load.vms, `${listedVms} of ${load.vms} VMs got their lists`);
  return { calls: store.calls, listedAtMs: Math.round(time.now()) };
}

/** A VM whose read is rejected continues at the missing page instead of at the first page. */
test('rejected reads of a fleet that starts at once do not restart its lists', async () => {
  const { calls, listedAtMs } = await startFleet({ vms: 410, pages: 7, readsPerSecond: 1_000 });
  assert.ok(listedAtMs < 3_000, `listed after ${listedAtMs} ms`);
  assert.ok(calls < 4_250, `${calls} calls`);
});

test('the start time does not grow with the fleet when the store rejects no reads', async () => {
  for (const vms of [30, 100, 300]) {
    const { calls, listedAtMs } = await startFleet({ vms, pages: 7, readsPerSecond: 6_000 });
    assert.is(calls, vms * 7);
    assert.ok(listedAtMs < START_SPREAD_MS + 7 * RESPONSE_MS + 5, `listed after ${listedAtMs} ms`);
  }
});

test.run();
