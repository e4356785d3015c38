/** VMs that start at once all list the store, which gives so many answers a second. */
import { PagedList, StoreFollower, type StorePage } from '@limelead/follow-store';
import type { Millis } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import ReplayTime from './replay-time.fixture.js';

/** Time for one answer of a store that has nothing else to do, in milliseconds. */
const ANSWER_MS = 4;
/** Time in which VMs of one fleet start, in milliseconds. */
const START_SPREAD_MS = 300;
const GIVEN_UP_MS = 60_000;

interface StoreLoad {
  vms: number;
  pages: number;
  /** Reads a second that are answered; others are turned away. */
  readsPerS: number;
}

/** A store that counts its calls, and turns those beyond its rate away. */
class CountingStore {
  calls = 0;
  private second = 0;
  private readsOfSecond = 0;

  constructor(
    private readonly time: ReplayTime,
    private readonly load: StoreLoad,
  ) {}

  async readPage(afterKey: string | undefined): Promise<E.Either<'turned-away', StorePage>> {
    this.calls += 1;
    const now = this.time.now();
    const second = Math.floor(now / 1_000);
    this.readsOfSecond = second === this.second ? this.readsOfSecond + 1 : 1;
    this.second = second;
    const isBeyondRate = this.readsOfSecond > this.load.readsPerS;
    await this.pass(ANSWER_MS);
    if (isBeyondRate) {
      return E.left('turned-away');
    }
    const page = Number(afterKey ?? 0) + 1;
    const items = [{ key: String(page), value: Buffer.alloc(0), revision: 1 }];
    return E.right({ items, revision: 1, hasMore: page < this.load.pages });
  }

  private pass(milliseconds: Millis): Promise<void> {
    return new Promise((resolve) => this.time.after(milliseconds, resolve));
  }
}

/** Starts a fleet; tells when its last VM had its list, and how many calls that took. */
async function start(load: StoreLoad): Promise<{ calls: number; listedAtMs: Millis }> {
  const time = new ReplayTime();
  const store = new CountingStore(time, load);
  const generator = xoroshiro128plus(load.vms);
  const random = { next: () => uniformFloat64(generator) };
  let listed = 0;
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
          listed += 1;
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
  await time.settleUntil(() => listed === load.vms, GIVEN_UP_MS);
  assert.is(listed, load.vms, `${listed} of ${load.vms} VMs got their lists`);
  return { calls: store.calls, listedAtMs: Math.round(time.now()) };
}

/**
 * The largest fleet that is planned for has 410 VMs; its targets fill seven pages. Measured
 * on this load: a VM that is turned away goes on at the page that it lacks. Where it read
 * all pages anew, the last VM had its list after 3.5 s, with 4,354 calls.
 */
test('a fleet that is turned away for starting at once nears its lists with each call', async () => {
  const { calls, listedAtMs } = await start({ vms: 410, pages: 7, readsPerS: 1_000 });
  assert.ok(listedAtMs < 3_000, `listed after ${listedAtMs} ms`);
  assert.ok(calls < 4_250, `${calls} calls`);
});

test('where the store has calls enough, the time to start does not grow with the fleet', async () => {
  for (const vms of [30, 100, 300]) {
    const { calls, listedAtMs } = await start({ vms, pages: 7, readsPerS: 6_000 });
    assert.is(calls, vms * 7);
    assert.ok(listedAtMs < START_SPREAD_MS + 7 * ANSWER_MS + 5, `listed after ${listedAtMs} ms`);
  }
});

test.run();
