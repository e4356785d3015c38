import type { Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { IGNORED_EVENTS } from './ignored-events.fixture.js';
import {
  StoreFollower,
  type StoreCallFailure,
  type StoreChanges,
  type StoreFault,
  type StoreItem,
  type StoreList,
  type StoreOutage,
} from './index.js';

/** Options of a VM without peers that follow the store for it. */
const WITHOUT_PEERS = {
  maxStalenessMs: 2_000,
  clock: { now: () => 0 },
  mustFollow: () => true,
  followsForPeers: () => false,
  readRevision: () => 0,
  peersRetry: () => false,
  startupWaitMs: () => 0,
};

type Answer = E.Either<StoreFault, StoreChanges>;

/** Timers that fire at once and advance the time by their delay. */
function createPassingTimers(time: { now: number }): Timers {
  return {
    after(milliseconds, run) {
      time.now += milliseconds;
      queueMicrotask(run);
      return () => undefined;
    },
  };
}

/** Runs a follower with the given answers in turn and stops it after the last. */
async function follow(
  lists: E.Either<StoreFault, StoreList>[],
  watches: Answer[],
  vms = 7,
  shared = false,
) {
  const events: string[] = [];
  const pauses: number[] = [];
  const timers: Timers = {
    after(milliseconds, run) {
      pauses.push(milliseconds);
      queueMicrotask(run);
      return () => undefined;
    },
  };
  const follower: StoreFollower = new StoreFollower({
    timers,
    random: { next: () => 0 },
    countFollowers: () => vms,
    ...WITHOUT_PEERS,
    peersRetry: () => shared,
    port: {
      list: async () => {
        events.push('list');
        return lists.shift() ?? stop();
      },
      watch: async (revision) => {
        events.push(`watch ${revision}`);
        return watches.shift() ?? stop();
      },
    },
    events: {
      onList: ({ items }) => events.push(`items ${items.length}`),
      onChanges: ({ changes }) => events.push(`changes ${changes.length}`),
      onProcessingFailed: (thrown: unknown) => assert.unreachable(String(thrown)),
      onRevisionDecreased: ({ known, revision }) => events.push(`decreased ${known} ${revision}`),
      onLost: (fault) => events.push(`lost ${fault}`),
      onCallFailed: () => undefined,
      onRegained: () => events.push('regained'),
      onFollowingChanged: () => undefined,
    },
  });
  function stop(): E.Either<StoreFault, never> {
    follower.stop();
    return E.left('unreachable');
  }
  await follower.run();
  return { events, pauses };
}

const emptyList = E.right({ items: [], revision: 5 });
const gone = { kind: 'gone', key: 'a' } as const;

test('watches start at the revision of the list, and a gap leads to another list', async () => {
  const { events } = await follow(
    [emptyList, E.right({ items: [], revision: 9 })],
    [E.right({ changes: [gone], revision: 7 }), E.left('history-gone')],
  );
  assert.equal(events.slice(0, 7), [
    'list',
    'items 0',
    'watch 5',
    'changes 1',
    'watch 7',
    'list',
    'items 0',
  ]);
});

// Guards against a VM that asks for the same changes again and again.
test('changes beyond a limit count as a failure and lead to another list', async () => {
  const { events, pauses } = await follow([emptyList, emptyList], [E.left('too-long')]);
  assert.equal(events.slice(0, 8), [
    ...['list', 'items 0', 'watch 5', 'lost too-long'],
    ...['list', 'regained', 'items 0', 'watch 5'],
  ]);
  assert.is(pauses.length > 0, true);
});

test('an outage is reported once, and retries back off up to a limit', async () => {
  const failures = Array.from({ length: 7 }, () => E.left<StoreFault>('silent'));
  const { events, pauses } = await follow(
    [emptyList],
    [...failures, E.right({ changes: [], revision: 5 })],
  );
  assert.equal(
    events.filter((line) => line.startsWith('lost') || line === 'regained').slice(0, 2),
    ['lost silent', 'regained'],
  );
  assert.equal(pauses.slice(0, 7), [100, 200, 400, 800, 1_000, 1_000, 1_000]);
});

test('each failed call is reported with its wait, duration and retry delay, and the end of an outage with its length', async () => {
  const time = { now: 1_000 };
  const failures: StoreCallFailure[] = [];
  const outages: StoreOutage[] = [];
  const answers: Answer[] = [
    E.left('silent'),
    E.left('turned-away'),
    E.right({ changes: [], revision: 5 }),
  ];
  const follower: StoreFollower = new StoreFollower({
    ...WITHOUT_PEERS,
    clock: { now: () => time.now },
    timers: createPassingTimers(time),
    random: { next: () => 0 },
    countFollowers: () => 6,
    port: {
      list: async () => emptyList,
      watch: async () => {
        time.now += 40;
        const answer = answers.shift();
        if (answer === undefined) {
          follower.stop();
        }
        return answer ?? E.left('unreachable');
      },
    },
    events: {
      ...IGNORED_EVENTS,
      onCallFailed: (failure) => failures.push(failure),
      onRegained: (outage) => outages.push(outage),
    },
  });
  await follower.run();
  const [first, second] = failures;
  assert.equal(
    [first, second].map((failure) => ({ ...failure, waitMs: 0 })),
    [
      { call: 'watch', waitMs: 0, fault: 'silent', afterMs: 40, failures: 1, pauseMs: 100 },
      { call: 'watch', waitMs: 0, fault: 'turned-away', afterMs: 40, failures: 2, pauseMs: 200 },
    ],
  );
  assert.equal(outages[0], { awayMs: 40 + 100 + 40 + 200 + 40, failures: 2 });
});

test('while many peers retry the store, a VM retries rarely', async () => {
  const failures = Array.from({ length: 3 }, () => E.left<StoreFault>('silent'));
  const { events, pauses } = await follow([emptyList], failures, 195, true);
  const attempts = events.filter((line) => line === 'watch 5').length;
  const waitedMs = pauses.reduce((sum, pause) => sum + pause, 0);
  assert.ok(waitedMs / attempts >= 2_000, `${attempts} attempts in ${waitedMs} ms`);
});

test('an older answer never decreases the revision', async () => {
  const { events } = await follow([emptyList], [E.right({ changes: [gone], revision: 3 })]);
  assert.ok(events.includes('watch 5') && !events.includes('watch 3'));
});

test('an answer with a lower revision is reported and leads to a new list', async () => {
  const list = E.right({ items: [], revision: 20 });
  const older = E.right({ changes: [], revision: 4 });
  const { events } = await follow([list, E.right({ items: [], revision: 4 })], [older]);
  const at = events.indexOf('decreased 20 4');
  assert.ok(at > 0 && events.indexOf('list', at) > at, events.join());
  assert.ok(events.includes('watch 4'));
});

test('an answer that cannot be processed does not end the loop and leads to a new list', async () => {
  const events: string[] = [];
  const follower: StoreFollower = new StoreFollower({
    timers: createPassingTimers({ now: 0 }),
    random: { next: () => 0 },
    countFollowers: () => 6,
    ...WITHOUT_PEERS,
    port: {
      list: async () => E.right({ items: [], revision: 5 }),
      watch: async () => E.right({ changes: [gone], revision: 6 }),
    },
    events: {
      ...IGNORED_EVENTS,
      onList: () => {
        events.push('list');
        if (events.length > 2) {
          follower.stop();
        }
      },
      onChanges: () => {
        throw new TypeError('no such target');
      },
      onProcessingFailed: (thrown) => events.push(String(thrown)),
    },
  });
  await follower.run();
  assert.equal(events, ['list', 'TypeError: no such target', 'list']);
});

test('the batch delay grows with the number of VMs, within bounds', async () => {
  const pauseOf = async (vms: number): Promise<number | undefined> => {
    const changes = E.right({ changes: [gone], revision: 7 });
    return (await follow([emptyList], [changes], vms)).pauses[0];
  };
  assert.equal(await Promise.all([7, 40, 410].map(pauseOf)), [250, 400, 800]);
});

test('a VM makes no calls while peers follow the store, and then watches from its known revision', async () => {
  const events: string[] = [];
  const turns = [true, false, false, true];
  const follower: StoreFollower = new StoreFollower({
    timers: {
      after(_, run) {
        queueMicrotask(run);
        return () => undefined;
      },
    },
    maxStalenessMs: 2_000,
    clock: { now: () => 0 },
    random: { next: () => 0 },
    countFollowers: () => 4,
    mustFollow: () => turns.shift() ?? true,
    followsForPeers: () => false,
    peersRetry: () => false,
    readRevision: () => 30,
    startupWaitMs: () => 0,
    port: {
      list: async () => E.right({ items: [], revision: 5 }),
      watch: async (revision) => {
        events.push(`watch ${revision}`);
        follower.stop();
        return E.right({ changes: [], revision });
      },
    },
    events: {
      ...IGNORED_EVENTS,
      onList: () => events.push('list'),
      onFollowingChanged: (isFollowing) => events.push(`following ${isFollowing}`),
    },
  });
  await follower.run();
  assert.equal(events, ['list', 'following false', 'following true', 'watch 30']);
  assert.equal(turns, []);
});

/** Follows a store with one item that changes every 80 ms for two seconds; returns the revisions read. */
async function followChangingItem(bytes: number) {
  const lastVersion = 25;
  const time = { now: 0 };
  const read: number[] = [];
  const newest = (): number => Math.min(lastVersion, Math.floor(time.now / 80));
  const version = (revision: number): StoreItem => {
    read.push(revision);
    return { key: 'large', value: Buffer.alloc(bytes), revision };
  };
  const follower: StoreFollower = new StoreFollower({
    timers: createPassingTimers(time),
    random: { next: () => 0 },
    countFollowers: () => 6,
    ...WITHOUT_PEERS,
    port: {
      list: async () => E.right({ items: [version(newest())], revision: newest() }),
      watch: async (since) => {
        if (newest() === since) {
          time.now = since === lastVersion ? time.now + 3_000 : (since + 1) * 80;
        }
        if (time.now > 10_000) {
          follower.stop();
        }
        const newer = Array.from({ length: newest() - since }, (_, index) => since + index + 1);
        return E.right({
          changes: newer.map((revision) => ({ kind: 'put', item: version(revision) }) as const),
          revision: newest(),
        });
      },
    },
    events: {
      ...IGNORED_EVENTS,
      onList: () => assert.ok(follower.isReceivingChanges),
      onChanges: () => assert.ok(follower.isReceivingChanges),
    },
  });
  await follower.run();
  return read;
}

test('of a frequently changing large item only the newest versions are read', async () => {
  const read = await followChangingItem(400_000);
  assert.is(read.at(-1), 25);
  assert.ok(read.length <= 8, `${read.length} versions were read`);
});

test('of a small item every version is read', async () => {
  const read = await followChangingItem(1_000);
  assert.is(new Set(read).size, 26);
});

test('after its first list a VM watches only if no peer follows the store for it', async () => {
  const startWith = async (peersFollowAtMs: number): Promise<string[]> => {
    const events: string[] = [];
    let now = 0;
    const follower: StoreFollower = new StoreFollower({
      timers: {
        after(milliseconds, run) {
          if (now < peersFollowAtMs) {
            assert.not(follower.isReceivingChanges, 'it requests updates from peers meanwhile');
          }
          now += milliseconds;
          if (now > 3_000) {
            follower.stop();
          }
          queueMicrotask(run);
          return () => undefined;
        },
      },
      maxStalenessMs: 2_000,
      clock: { now: () => now },
      random: { next: () => 0 },
      countFollowers: () => 4,
      mustFollow: () => now < peersFollowAtMs,
      followsForPeers: () => false,
      peersRetry: () => false,
      readRevision: () => 5,
      startupWaitMs: () => 1_500,
      port: {
        list: async () => {
          events.push(`list at ${now}`);
          return emptyList;
        },
        watch: async () => {
          events.push(`watch at ${now}`);
          follower.stop();
          return E.left('unreachable');
        },
      },
      events: IGNORED_EVENTS,
    });
    await follower.run();
    return events;
  };
  assert.equal(await startWith(900), ['list at 0']);
  assert.equal(await startWith(Infinity), ['list at 0', 'watch at 1500']);
});

test.run();
