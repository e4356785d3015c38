import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DutyPermit } from './duty.js';
import HeldDuty, { type HeldDutyOptions } from './held-duty.js';
import World, { findBroken, LEASE_MS, type Trouble, type WorldOptions } from './world.fixture.js';

const RUNS = 2_000;
const TROUBLED_MS = 10_000;
/** Behind the last trouble: a pause between tries, a lease, the time in which nobody acts. */
const CALM_MS = 14_000;

/** Longest trouble of a schedule. */
const LONGEST_MS = 5_000;
/** Time that single failures are played for. */
const SINGLE_MS = 16_000;

/** Believes in its last renewal for as long as it hears nothing else. */
class Careless extends HeldDuty {
  private token: number | undefined;

  constructor(options: HeldDutyOptions) {
    super({
      ...options,
      onTaken: (token) => (this.token = token),
      onLost: () => (this.token = undefined),
    });
  }

  override permit(): DutyPermit | undefined {
    return this.token === undefined ? undefined : { token: this.token, heldSinceMs: 0 };
  }
}

/** Numbers in [0, 1) from a seed. */
function createDraw(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

async function play(options: Partial<WorldOptions>, untilMs = SINGLE_MS): Promise<World> {
  const world = new World({
    vms: 2,
    isFenced: false,
    troubles: [],
    draw: createDraw(1),
    ...options,
  });
  await world.playUntil(untilMs);
  return world;
}

/** Who acted, in order, without repeats. */
function listHolders({ acts }: World): string[] {
  return acts.map(({ incarnation }) => incarnation).filter((name, at, all) => name !== all[at - 1]);
}

/** Longest time in which nobody acted behind the first act. */
function longestGap({ acts }: World): number {
  return Math.max(...acts.map(({ atMs }, index) => atMs - (acts[index - 1]?.atMs ?? atMs)));
}

const one = (kind: Trouble['kind'], forMs: number, vm: Trouble['vm'] = 0): Trouble[] => [
  { atMs: 6_050, vm, kind, forMs },
];

test('one VM holds the duty from three seconds on', async () => {
  const world = await play({});
  assert.equal(listHolders(world), ['0/1']);
  assert.ok((world.acts[0]?.atMs ?? Infinity) < LEASE_MS + 1_200);
});

test('a holder that is killed is replaced in about the time of a lease', async () => {
  const world = await play({ troubles: one('kill', 60_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.ok(longestGap(world) < LEASE_MS + 1_500, `${longestGap(world)}`);
});

test('a holder that stops hands over within a second and a half', async () => {
  const world = await play({ troubles: one('stop', 60_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.ok(longestGap(world) < 2_500, `${longestGap(world)}`);
});

test('a holder that stood still for longer than its lease does not act again', async () => {
  const world = await play({ troubles: one('pause', 5_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.equal(findBroken(world.acts), []);
});

test('a holder that the store turns away steps down in time', async () => {
  const world = await play({ troubles: one('cut', 60_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.equal(findBroken(world.acts), []);
});

test('one lost answer to a renewal changes no holder', async () => {
  const world = await play({ troubles: one('lose', 1_100) });
  assert.equal(listHolders(world), ['0/1']);
});

test('an election whose write is done late has one holder', async () => {
  const late: Trouble = { atMs: 0, vm: 0, kind: 'late', forMs: 4_000 };
  const world = await play({ troubles: [late] });
  assert.equal(findBroken(world.acts), []);
  assert.ok(world.acts.length > 20);
});

for (const kind of ['down-lapsing', 'down-waiting'] as const) {
  test(`a store that is away, ${kind}: nobody acts on a lease that may be over`, async () => {
    const world = await play({ troubles: one(kind, 5_000, 'store') }, 30_000);
    assert.equal(findBroken(world.acts), []);
    assert.ok(world.acts.every(({ atMs }) => atMs < 6_050 + LEASE_MS || atMs > 11_050));
    assert.ok(world.acts.some(({ atMs }) => atMs > 12_000));
  });
}

test('a token that somebody called outdated is never used again', async () => {
  const world = await play({ vms: 1 });
  const token = world.acts.at(-1)?.token ?? 0;
  world.vms[0]?.duty?.noteOutdated(token);
  const before = world.acts.length;
  await world.playUntil(30_000);
  // What was on its way when the word came still arrives.
  const later = world.acts.slice(before).filter(({ atMs }) => atMs > SINGLE_MS + 1_000);
  assert.ok(later.length > 0 && later.every((act) => act.token > token));
});

test('all VMs are killed and come back', async () => {
  const troubles = [0, 1].map((vm): Trouble => ({ atMs: 6_050, vm, kind: 'kill', forMs: 300 }));
  const world = await play({ troubles }, 30_000);
  assert.equal(findBroken(world.acts), []);
  assert.ok(longestGap(world) < 2 * LEASE_MS + 2_000, `${longestGap(world)}`);
});

test('a rolling restart of all VMs', async () => {
  const troubles = [0, 1, 2].map((vm): Trouble => {
    return { atMs: 6_000 + vm * 2_000, vm, kind: 'stop', forMs: 800 };
  });
  const world = await play({ vms: 3, troubles }, 30_000);
  assert.equal(findBroken(world.acts), []);
  assert.ok(longestGap(world) < 2 * LEASE_MS + 2_000, `${longestGap(world)}`);
});

const trouble: fc.Arbitrary<Trouble> = fc.oneof(
  fc.record({
    atMs: fc.integer({ min: 0, max: TROUBLED_MS }),
    vm: fc.constantFrom<Trouble['vm']>(0, 1, 2),
    kind: fc.constantFrom<Trouble['kind']>('pause', 'kill', 'stop', 'cut', 'lose', 'late'),
    forMs: fc.integer({ min: 50, max: LONGEST_MS }),
  }),
  fc.record({
    atMs: fc.integer({ min: 0, max: TROUBLED_MS }),
    vm: fc.constant<Trouble['vm']>('store'),
    kind: fc.constantFrom<Trouble['kind']>('down-waiting', 'down-lapsing'),
    forMs: fc.integer({ min: 50, max: LONGEST_MS }),
  }),
);

/** Plays seeded schedules of troubles; gives what the first broken one broke. */
function searchBroken(
  runs: number,
  createDuty?: WorldOptions['createDuty'],
): Promise<fc.RunDetails<[Trouble[], boolean, number]>> {
  const property = fc.asyncProperty(
    fc.array(trouble, { minLength: 1, maxLength: 6 }),
    fc.boolean(),
    fc.nat(),
    async (troubles, isFenced, seed) => {
      const world = new World({ vms: 3, isFenced, troubles, draw: createDraw(seed), createDuty });
      const untilMs = TROUBLED_MS + LONGEST_MS + CALM_MS;
      await world.playUntil(untilMs);
      assert.equal(findBroken(world.acts), []);
      assert.ok((world.acts.at(-1)?.atMs ?? 0) > untilMs - 3_000, 'somebody acts in the end');
    },
  );
  return fc.check(property, { numRuns: runs, seed: 33 });
}

test(`${RUNS} schedules of troubles, fenced or not: tokens and holders keep their order`, async () => {
  const details = await searchBroken(RUNS);
  assert.not.ok(details.failed, fc.defaultReportMessage(details) ?? '');
});

test('a holder that does not look at the clock before a call is caught', async () => {
  const details = await searchBroken(RUNS, (options) => new Careless(options));
  assert.ok(details.failed);
});

test('a VM that wins the duty back waits until it is no second A of A, B, A', async () => {
  const troubles: Trouble[] = [
    { atMs: 6_000, vm: 0, kind: 'stop', forMs: 1_000 },
    { atMs: 7_700, vm: 1, kind: 'stop', forMs: 60_000 },
  ];
  const playWith = async (createDuty?: WorldOptions['createDuty']): Promise<World> => {
    let isLate = true;
    // The first VM's last call arrives late, all that follow at once.
    const options = { vms: 2, isFenced: false, troubles, createDuty };
    const world = new World({ ...options, draw: () => (isLate ? 0.95 : 0.05) });
    await world.playUntil(6_000);
    isLate = false;
    await world.playUntil(SINGLE_MS);
    return world;
  };
  const world = await playWith();
  assert.equal(listHolders(world), ['0/1', '1/1', '0/3']);
  assert.equal(findBroken(world.acts), []);
  const hasty = await playWith((options) => new HeldDuty({ ...options, quietMs: 0 }));
  assert.equal(listHolders(hasty), ['0/1', '1/1', '0/3']);
  assert.ok(findBroken(hasty.acts).length > 0);
});

test.run();
