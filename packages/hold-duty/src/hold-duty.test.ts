import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DutyPermit } from './duty.js';
import LeasedDuty, { type LeasedDutyOptions } from './leased-duty.js';
import DutySimulation, {
  findViolations,
  LEASE_MS,
  type InjectedFault,
  type SimulationOptions,
} from './duty-simulation.fixture.js';

const RUNS = 2_000;
const TROUBLED_MS = 10_000;
/** Behind the last faultArbitrary: a pause between tries, a lease, the time in which nobody acts. */
const CALM_MS = 14_000;

/** Longest faultArbitrary of a schedule. */
const LONGEST_MS = 5_000;
/** Time that single failures are played for. */
const SINGLE_MS = 16_000;

/** Believes in its last renewal for as long as it hears nothing else. */
class Careless extends LeasedDuty {
  private token: number | undefined;

  constructor(options: LeasedDutyOptions) {
    super({
      ...options,
      onAcquired: (token) => (this.token = token),
      onLost: () => (this.token = undefined),
    });
  }

  override permit(): DutyPermit | undefined {
    return this.token === undefined ? undefined : { token: this.token, heldSinceMs: 0 };
  }
}

/** Looks at the clock, but not at the time that a call may take. */
class Hasty extends LeasedDuty {
  override permit(): DutyPermit | undefined {
    return super.permit(0);
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

async function play(
  options: Partial<SimulationOptions>,
  untilMs = SINGLE_MS,
): Promise<DutySimulation> {
  const world = new DutySimulation({
    vms: 2,
    isFenced: false,
    faults: [],
    random: createDraw(1),
    ...options,
  });
  await world.runUntil(untilMs);
  return world;
}

/** Who acted, in order, without repeats. */
function listHolders({ calls }: DutySimulation): string[] {
  return calls
    .map(({ incarnation }) => incarnation)
    .filter((name, at, all) => name !== all[at - 1]);
}

/** Longest time in which nobody acted behind the first act. */
function longestGap({ calls }: DutySimulation): number {
  return Math.max(...calls.map(({ atMs }, index) => atMs - (calls[index - 1]?.atMs ?? atMs)));
}

const one = (
  kind: InjectedFault['kind'],
  forMs: number,
  vm: InjectedFault['vm'] = 0,
): InjectedFault[] => [{ atMs: 6_050, vm, kind, forMs }];

test('one VM holds the duty from three seconds on', async () => {
  const world = await play({});
  assert.equal(listHolders(world), ['0/1']);
  assert.ok((world.calls[0]?.atMs ?? Infinity) < LEASE_MS + 1_200);
});

test('a holder that is killed is replaced in about the time of a lease', async () => {
  const world = await play({ faults: one('kill', 60_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.ok(longestGap(world) < LEASE_MS + 1_500, `${longestGap(world)}`);
});

test('a holder that stops hands over within a second and a half', async () => {
  const world = await play({ faults: one('stop', 60_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.ok(longestGap(world) < 2_500, `${longestGap(world)}`);
});

test('a holder that steps aside has the other one in its place for a while', async () => {
  const world = await play({ faults: one('aside', 0) }, 30_000);
  assert.equal(listHolders(world), ['0/1', '1/1']);
});

test('a holder that stood still for longer than its lease does not act again', async () => {
  const world = await play({ faults: one('pause', 5_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.equal(findViolations(world.calls), []);
});

test('a holder that the store turns away steps down in time', async () => {
  const world = await play({ faults: one('cut', 60_000) });
  assert.equal(listHolders(world), ['0/1', '1/1']);
  assert.equal(findViolations(world.calls), []);
});

test('one lost answer to a renewal changes no holder', async () => {
  const world = await play({ faults: one('lose', 1_100) });
  assert.equal(listHolders(world), ['0/1']);
});

test('an election whose write is done late has one holder', async () => {
  const late: InjectedFault = { atMs: 0, vm: 0, kind: 'late', forMs: 4_000 };
  const world = await play({ faults: [late] });
  assert.equal(findViolations(world.calls), []);
  assert.ok(world.calls.length > 20);
});

for (const kind of ['down-lapsing', 'down-waiting'] as const) {
  test(`a store that is away, ${kind}: nobody acts on a lease that may be over`, async () => {
    const world = await play({ faults: one(kind, 5_000, 'store') }, 30_000);
    assert.equal(findViolations(world.calls), []);
    assert.ok(world.calls.every(({ atMs }) => atMs < 6_050 + LEASE_MS || atMs > 11_050));
    assert.ok(world.calls.some(({ atMs }) => atMs > 12_000));
  });
}

test('a token that somebody called outdated is never used again', async () => {
  const world = await play({ vms: 1 });
  const token = world.calls.at(-1)?.token ?? 0;
  world.vms[0]?.duty?.markTokenOutdated(token);
  const before = world.calls.length;
  await world.runUntil(30_000);
  // What was on its way when the word came still arrives.
  const later = world.calls.slice(before).filter(({ atMs }) => atMs > SINGLE_MS + 1_000);
  assert.ok(later.length > 0 && later.every((act) => act.token > token));
});

test('all VMs are killed and come back', async () => {
  const faults = [0, 1].map((vm): InjectedFault => ({
    atMs: 6_050,
    vm,
    kind: 'kill',
    forMs: 300,
  }));
  const world = await play({ faults: faults }, 30_000);
  assert.equal(findViolations(world.calls), []);
  assert.ok(longestGap(world) < 2 * LEASE_MS + 2_000, `${longestGap(world)}`);
});

test('a rolling restart of all VMs', async () => {
  const faults = [0, 1, 2].map((vm): InjectedFault => {
    return { atMs: 6_000 + vm * 2_000, vm, kind: 'stop', forMs: 800 };
  });
  const world = await play({ vms: 3, faults: faults }, 30_000);
  assert.equal(findViolations(world.calls), []);
  assert.ok(longestGap(world) < 2 * LEASE_MS + 2_000, `${longestGap(world)}`);
});

const faultArbitrary: fc.Arbitrary<InjectedFault> = fc.oneof(
  fc.record({
    atMs: fc.integer({ min: 0, max: TROUBLED_MS }),
    vm: fc.constantFrom<InjectedFault['vm']>(0, 1, 2),
    kind: fc.constantFrom<InjectedFault['kind']>(
      'pause',
      'kill',
      'stop',
      'aside',
      'cut',
      'lose',
      'late',
    ),
    forMs: fc.integer({ min: 50, max: LONGEST_MS }),
  }),
  fc.record({
    atMs: fc.integer({ min: 0, max: TROUBLED_MS }),
    vm: fc.constant<InjectedFault['vm']>('store'),
    kind: fc.constantFrom<InjectedFault['kind']>('down-waiting', 'down-lapsing'),
    forMs: fc.integer({ min: 50, max: LONGEST_MS }),
  }),
);

/** Plays seeded schedules of faults; gives what the first broken one broke. */
function searchBroken(
  runs: number,
  createDuty?: SimulationOptions['createDuty'],
): Promise<fc.RunDetails<[InjectedFault[], boolean, number]>> {
  const property = fc.asyncProperty(
    fc.array(faultArbitrary, { minLength: 1, maxLength: 6 }),
    fc.boolean(),
    fc.nat(),
    async (faults, isFenced, seed) => {
      const world = new DutySimulation({
        vms: 3,
        isFenced,
        faults: faults,
        random: createDraw(seed),
        createDuty,
      });
      const untilMs = TROUBLED_MS + LONGEST_MS + CALM_MS;
      await world.runUntil(untilMs);
      assert.equal(findViolations(world.calls), []);
      assert.ok((world.calls.at(-1)?.atMs ?? 0) > untilMs - 3_000, 'somebody acts in the end');
    },
  );
  return fc.check(property, { numRuns: runs, seed: 33 });
}

test(`${RUNS} schedules of faults, fenced or not: tokens and holders keep their order`, async () => {
  const details = await searchBroken(RUNS);
  assert.not.ok(details.failed, fc.defaultReportMessage(details) ?? '');
});

test('a holder that does not look at the clock before a call is caught', async () => {
  const details = await searchBroken(RUNS, (options) => new Careless(options));
  assert.ok(details.failed);
});

test('a holder that ignores how long a call may take is caught', async () => {
  const details = await searchBroken(RUNS, (options) => new Hasty(options));
  assert.ok(details.failed);
});

test('a VM that wins the duty back waits until it is no second A of A, B, A', async () => {
  const faults: InjectedFault[] = [
    { atMs: 6_000, vm: 0, kind: 'stop', forMs: 1_000 },
    { atMs: 7_700, vm: 1, kind: 'stop', forMs: 60_000 },
  ];
  const playWith = async (
    createDuty?: SimulationOptions['createDuty'],
  ): Promise<DutySimulation> => {
    let isLate = true;
    // The first VM's last call arrives late, all that follow at once.
    const options = { vms: 2, isFenced: false, faults, createDuty };
    const world = new DutySimulation({ ...options, random: () => (isLate ? 0.95 : 0.05) });
    await world.runUntil(6_000);
    isLate = false;
    await world.runUntil(SINGLE_MS);
    return world;
  };
  const world = await playWith();
  assert.equal(listHolders(world), ['0/1', '1/1', '0/3']);
  assert.equal(findViolations(world.calls), []);
  const hasty = await playWith((options) => new LeasedDuty({ ...options, reacquireDelayMs: 0 }));
  assert.equal(listHolders(hasty), ['0/1', '1/1', '0/3']);
  assert.ok(findViolations(hasty.calls).length > 0);
});

test.run();
