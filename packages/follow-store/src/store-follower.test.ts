import type { Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { IGNORED } from './ignored-events.fixture.js';
import {
  StoreFollower,
  type StoreCallFailure,
  type StoreChanges,
  type StoreFault,
  type StoreItem,
  type StoreList,
  type StoreOutage,
} from './index.js';

/** No other VM follows the store for this one. */
const ALONE = {
  noticeWithinMs: 2_000,
  clock: { now: () => 0 },
  mustFollow: () => true,
  followsForOthers: () => false,
  readRevision: () => 0,
  othersTry: () => false,
  startWaitMs: () => 0,
};

type Answer = E.Either<StoreFault, StoreChanges>;

/** Timers that are due at once; time passes by what they were set to. */
function createPassingTimers(time: { now: number }): Timers {
  return {
    after(milliseconds, run) {
      time.now += milliseconds;
      queueMicrotask(run);
      return () => undefined;
    },
  };
}

/** Plays answers in turn and stops the follower after the last. */
async function follow(
  lists: E.Either<StoreFault, StoreList>[],
  watches: Answer[],
  vms = 7,
  shared = false,
) {
  const told: string[] = [];
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
    ...ALONE,
    othersTry: () => shared,
    port: {
      list: async () => {
        told.push('list');
        return lists.shift() ?? stop();
      },
      watch: async (revision) => {
        told.push(`watch ${revision}`);
        return watches.shift() ?? stop();
      },
    },
    events: {
      onList: ({ items }) => told.push(`items ${items.length}`),
      onChanges: ({ changes }) => told.push(`changes ${changes.length}`),
      onStepFailed: (thrown: unknown) => assert.unreachable(String(thrown)),
      onBehind: ({ known, revision }) => told.push(`behind ${known} ${revision}`),
      onLost: (fault) => told.push(`lost ${fault}`),
      onCallFailed: () => undefined,
      onRegained: () => told.push('regained'),
      onFollowing: () => undefined,
    },
  });
  function stop(): E.Either<StoreFault, never> {
    follower.stop();
    return E.left('unreachable');
  }
  await follower.run();
  return { told, pauses };
}

const emptyList = E.right({ items: [], revision: 5 });
const gone = { kind: 'gone', key: 'a' } as const;

test('a list is followed by watches from its revision, and a gap by another list', async () => {
  const { told } = await follow(
    [emptyList, E.right({ items: [], revision: 9 })],
    [E.right({ changes: [gone], revision: 7 }), E.left('history-gone')],
  );
  assert.equal(told.slice(0, 7), [
    'list',
    'items 0',
    'watch 5',
    'changes 1',
    'watch 7',
    'list',
    'items 0',
  ]);
});

test('losses and returns are told once, and the pauses grow up to a bound', async () => {
  const failures = Array.from({ length: 7 }, () => E.left<StoreFault>('silent'));
  const { told, pauses } = await follow(
    [emptyList],
    [...failures, E.right({ changes: [], revision: 5 })],
  );
  assert.equal(told.filter((line) => line.startsWith('lost') || line === 'regained').slice(0, 2), [
    'lost silent',
    'regained',
  ]);
  assert.equal(pauses.slice(0, 7), [100, 200, 400, 800, 1_000, 1_000, 1_000]);
});

test('each failed call is told with its wait, its time and the pause behind it, and a return with the time away', async () => {
  const time = { now: 1_000 };
  const failures: StoreCallFailure[] = [];
  const outages: StoreOutage[] = [];
  const answers: Answer[] = [
    E.left('silent'),
    E.left('turned-away'),
    E.right({ changes: [], revision: 5 }),
  ];
  const follower: StoreFollower = new StoreFollower({
    ...ALONE,
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
      ...IGNORED,
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

test('while many others try the store too, a VM tries it seldom', async () => {
  const failures = Array.from({ length: 3 }, () => E.left<StoreFault>('silent'));
  const { told, pauses } = await follow([emptyList], failures, 195, true);
  const tries = told.filter((line) => line === 'watch 5').length;
  const waitedMs = pauses.reduce((sum, pause) => sum + pause, 0);
  assert.ok(waitedMs / tries >= 2_000, `${tries} tries in ${waitedMs} ms`);
});

test('an answer from the past never sets the revision back', async () => {
  const { told } = await follow([emptyList], [E.right({ changes: [gone], revision: 3 })]);
  assert.ok(told.includes('watch 5') && !told.includes('watch 3'));
});

test('a store that has not come as far as was known of it is told, and listed anew', async () => {
  const list = E.right({ items: [], revision: 20 });
  const behind = E.right({ changes: [], revision: 4 });
  const { told } = await follow([list, E.right({ items: [], revision: 4 })], [behind]);
  const at = told.indexOf('behind 20 4');
  assert.ok(at > 0 && told.indexOf('list', at) > at, told.join());
  assert.ok(told.includes('watch 4'));
});

test('an answer that can not be taken does not end the loop: the store is listed anew', async () => {
  const told: string[] = [];
  const follower: StoreFollower = new StoreFollower({
    timers: createPassingTimers({ now: 0 }),
    random: { next: () => 0 },
    countFollowers: () => 6,
    ...ALONE,
    port: {
      list: async () => E.right({ items: [], revision: 5 }),
      watch: async () => E.right({ changes: [gone], revision: 6 }),
    },
    events: {
      ...IGNORED,
      onList: () => {
        told.push('list');
        if (told.length > 2) {
          follower.stop();
        }
      },
      onChanges: () => {
        throw new TypeError('no such target');
      },
      onStepFailed: (thrown) => told.push(String(thrown)),
    },
  });
  await follower.run();
  assert.equal(told, ['list', 'TypeError: no such target', 'list']);
});

test('changes gather for longer where more VMs pay for calls, up to a bound', async () => {
  const pauseOf = async (vms: number): Promise<number | undefined> => {
    const changes = E.right({ changes: [gone], revision: 7 });
    return (await follow([emptyList], [changes], vms)).pauses[0];
  };
  assert.equal(await Promise.all([7, 40, 410].map(pauseOf)), [250, 400, 800]);
});

test('while others follow the store a VM asks it nothing, and goes on from what it knows', async () => {
  const told: string[] = [];
  const turns = [true, false, false, true];
  const follower: StoreFollower = new StoreFollower({
    timers: {
      after(_, run) {
        queueMicrotask(run);
        return () => undefined;
      },
    },
    noticeWithinMs: 2_000,
    clock: { now: () => 0 },
    random: { next: () => 0 },
    countFollowers: () => 4,
    mustFollow: () => turns.shift() ?? true,
    followsForOthers: () => false,
    othersTry: () => false,
    readRevision: () => 30,
    startWaitMs: () => 0,
    port: {
      list: async () => E.right({ items: [], revision: 5 }),
      watch: async (revision) => {
        told.push(`watch ${revision}`);
        follower.stop();
        return E.right({ changes: [], revision });
      },
    },
    events: {
      ...IGNORED,
      onList: () => told.push('list'),
      onFollowing: (isFollowing) => told.push(`following ${isFollowing}`),
    },
  });
  await follower.run();
  assert.equal(told, ['list', 'following false', 'following true', 'watch 30']);
  assert.equal(turns, []);
});

/** A store with one item that is written every 80 ms for two seconds; time passes by pauses. */
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
    ...ALONE,
    port: {
      list: async () => E.right({ items: [version(newest())], revision: newest() }),
      watch: async (since) => {
        if (newest() === since) {
          time.now = since === lastVersion ? time.now + 3_000 : (since + 1) * 80;
        }
        if (time.now > 10_000) {
          follower.stop();
        }
        const behind = Array.from({ length: newest() - since }, (_, index) => since + index + 1);
        return E.right({
          changes: behind.map((revision) => ({ kind: 'put', item: version(revision) }) as const),
          revision: newest(),
        });
      },
    },
    events: {
      ...IGNORED,
      onList: () => assert.ok(follower.isInTouch),
      onChanges: () => assert.ok(follower.isInTouch),
    },
  });
  await follower.run();
  return read;
}

test('of a large item that changes in quick succession only the newest versions are read', async () => {
  const read = await followChangingItem(400_000);
  assert.is(read.at(-1), 25);
  assert.ok(read.length <= 8, `${read.length} versions were read`);
});

test('of a small item every version is read, with fewer calls', async () => {
  const read = await followChangingItem(1_000);
  assert.is(new Set(read).size, 26);
});

test('a VM that has its first list watches only where others do not do so for it', async () => {
  const startWith = async (othersFollowAtMs: number): Promise<string[]> => {
    const told: string[] = [];
    let now = 0;
    const follower: StoreFollower = new StoreFollower({
      timers: {
        after(milliseconds, run) {
          if (now < othersFollowAtMs) {
            assert.not(follower.isInTouch, 'peers are asked for news meanwhile');
          }
          now += milliseconds;
          if (now > 3_000) {
            follower.stop();
          }
          queueMicrotask(run);
          return () => undefined;
        },
      },
      noticeWithinMs: 2_000,
      clock: { now: () => now },
      random: { next: () => 0 },
      countFollowers: () => 4,
      mustFollow: () => now < othersFollowAtMs,
      followsForOthers: () => false,
      othersTry: () => false,
      readRevision: () => 5,
      startWaitMs: () => 1_500,
      port: {
        list: async () => {
          told.push(`list at ${now}`);
          return emptyList;
        },
        watch: async () => {
          told.push(`watch at ${now}`);
          follower.stop();
          return E.left('unreachable');
        },
      },
      events: IGNORED,
    });
    await follower.run();
    return told;
  };
  assert.equal(await startWith(900), ['list at 0']);
  assert.equal(await startWith(Infinity), ['list at 0', 'watch at 1500']);
});

test.run();
