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
const FAULT_WINDOW_MS = 10_000;
/** Time after the last fault in which the duty must be held again. */
const RECOVERY_MS = 14_000;

/** Maximum duration of a fault. */
const MAX_FAULT_MS = 5_000;
/** Duration of simulations with a single fault. */
const SINGLE_FAULT_RUN_MS = 16_000;

/** Faulty duty that permits calls without checking the clock. */
class UncheckedDuty extends LeasedDuty {
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

/** Faulty duty that ignores the time a call may take. */
class ZeroArrivalDuty extends LeasedDuty {
  override permit(): DutyPermit | undefined {
    return super.permit(0);
  }
}

/** Creates a seeded random number generator for [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

async function simulate(
  options: Partial<SimulationOptions>,
  untilMs = SINGLE_FAULT_RUN_MS,
): Promise<DutySimulation> {
  const simulation = new DutySimulation({
    vms: 2,
    isFenced: false,
    faults: [],
    random: createRandom(1),
    ...options,
  });
  await simulation.runUntil(untilMs);
  return simulation;
}

/** Lists the holders that made calls, in order without repeats. */
function listHolders({ calls }: DutySimulation): string[] {
  return calls
    .map(({ incarnation }) => incarnation)
    .filter((name, at, all) => name !== all[at - 1]);
}

/** Returns the longest time between two calls. */
function longestGap({ calls }: DutySimulation): number {
  return Math.max(...calls.map(({ atMs }, index) => atMs - (calls[index - 1]?.atMs ?? atMs)));
}

const singleFault = (
  kind: InjectedFault['kind'],
  forMs: number,
  vm: InjectedFault['vm'] = 0,
): InjectedFault[] => [{ atMs: 6_050, vm, kind, forMs }];

test('one VM holds the duty after the start', async () => {
  const simulation = await simulate({});
  assert.equal(listHolders(simulation), ['0/1']);
  assert.ok((simulation.calls[0]?.atMs ?? Infinity) < LEASE_MS + 1_200);
});

test('a killed holder is replaced within about the duration of a lease', async () => {
  const simulation = await simulate({ faults: singleFault('kill', 60_000) });
  assert.equal(listHolders(simulation), ['0/1', '1/1']);
  assert.ok(longestGap(simulation) < LEASE_MS + 1_500, `${longestGap(simulation)}`);
});

test('a holder that stops hands the duty over quickly', async () => {
  const simulation = await simulate({ faults: singleFault('stop', 60_000) });
  assert.equal(listHolders(simulation), ['0/1', '1/1']);
  assert.ok(longestGap(simulation) < 2_500, `${longestGap(simulation)}`);
});

test('a holder that yields is replaced by the other VM', async () => {
  const simulation = await simulate({ faults: singleFault('aside', 0) }, 30_000);
  assert.equal(listHolders(simulation), ['0/1', '1/1']);
});

test('a holder paused for longer than its lease makes no more calls', async () => {
  const simulation = await simulate({ faults: singleFault('pause', 5_000) });
  assert.equal(listHolders(simulation), ['0/1', '1/1']);
  assert.equal(findViolations(simulation.calls), []);
});

test('a holder without access to the store gives up the duty in time', async () => {
  const simulation = await simulate({ faults: singleFault('cut', 60_000) });
  assert.equal(listHolders(simulation), ['0/1', '1/1']);
  assert.equal(findViolations(simulation.calls), []);
});

test('a lost answer to a renewal does not change the holder', async () => {
  const simulation = await simulate({ faults: singleFault('lose', 1_100) });
  assert.equal(listHolders(simulation), ['0/1']);
});

test('an acquisition whose write is carried out late leaves one holder', async () => {
  const late: InjectedFault = { atMs: 0, vm: 0, kind: 'late', forMs: 4_000 };
  const simulation = await simulate({ faults: [late] });
  assert.equal(findViolations(simulation.calls), []);
  assert.ok(simulation.calls.length > 20);
});

for (const kind of ['down-lapsing', 'down-waiting'] as const) {
  test(`an unavailable store, ${kind}: no calls are made on a lease that may have expired`, async () => {
    const simulation = await simulate({ faults: singleFault(kind, 5_000, 'store') }, 30_000);
    assert.equal(findViolations(simulation.calls), []);
    assert.ok(simulation.calls.every(({ atMs }) => atMs < 6_050 + LEASE_MS || atMs > 11_050));
    assert.ok(simulation.calls.some(({ atMs }) => atMs > 12_000));
  });
}

test('an outdated token is never used again', async () => {
  const simulation = await simulate({ vms: 1 });
  const token = simulation.calls.at(-1)?.token ?? 0;
  simulation.vms[0]?.duty?.markTokenOutdated(token);
  const before = simulation.calls.length;
  await simulation.runUntil(30_000);
  // Calls already in flight still arrive.
  const later = simulation.calls
    .slice(before)
    .filter(({ atMs }) => atMs > SINGLE_FAULT_RUN_MS + 1_000);
  assert.ok(later.length > 0 && later.every((act) => act.token > token));
});

test('all VMs are killed and restarted', async () => {
  const faults = [0, 1].map((vm): InjectedFault => ({
    atMs: 6_050,
    vm,
    kind: 'kill',
    forMs: 300,
  }));
  const simulation = await simulate({ faults }, 30_000);
  assert.equal(findViolations(simulation.calls), []);
  assert.ok(longestGap(simulation) < 2 * LEASE_MS + 2_000, `${longestGap(simulation)}`);
});

test('a rolling restart of all VMs', async () => {
  const faults = [0, 1, 2].map((vm): InjectedFault => {
    return { atMs: 6_000 + vm * 2_000, vm, kind: 'stop', forMs: 800 };
  });
  const simulation = await simulate({ vms: 3, faults }, 30_000);
  assert.equal(findViolations(simulation.calls), []);
  assert.ok(longestGap(simulation) < 2 * LEASE_MS + 2_000, `${longestGap(simulation)}`);
});

const anyFault: fc.Arbitrary<InjectedFault> = fc.oneof(
  fc.record({
    atMs: fc.integer({ min: 0, max: FAULT_WINDOW_MS }),
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
    forMs: fc.integer({ min: 50, max: MAX_FAULT_MS }),
  }),
  fc.record({
    atMs: fc.integer({ min: 0, max: FAULT_WINDOW_MS }),
    vm: fc.constant<InjectedFault['vm']>('store'),
    kind: fc.constantFrom<InjectedFault['kind']>('down-waiting', 'down-lapsing'),
    forMs: fc.integer({ min: 50, max: MAX_FAULT_MS }),
  }),
);

/** Runs seeded schedules of faults and returns the first violation. */
function searchViolations(
  runs: number,
  createDuty?: SimulationOptions['createDuty'],
): Promise<fc.RunDetails<[InjectedFault[], boolean, number]>> {
  const property = fc.asyncProperty(
    fc.array(anyFault, { minLength: 1, maxLength: 6 }),
    fc.boolean(),
    fc.nat(),
    async (faults, isFenced, seed) => {
      const simulation = new DutySimulation({
        vms: 3,
        isFenced,
        faults,
        random: createRandom(seed),
        createDuty,
      });
      const untilMs = FAULT_WINDOW_MS + MAX_FAULT_MS + RECOVERY_MS;
      await simulation.runUntil(untilMs);
      assert.equal(findViolations(simulation.calls), []);
      assert.ok(
        (simulation.calls.at(-1)?.atMs ?? 0) > untilMs - 3_000,
        'calls are made in the end',
      );
    },
  );
  return fc.check(property, { numRuns: runs, seed: 33 });
}

test(`${RUNS} schedules of faults, fenced or not: tokens and holders keep their order`, async () => {
  const details = await searchViolations(RUNS);
  assert.not.ok(details.failed, fc.defaultReportMessage(details) ?? '');
});

test('the check finds a holder that does not check the clock before a call', async () => {
  const details = await searchViolations(RUNS, (options) => new UncheckedDuty(options));
  assert.ok(details.failed);
});

test('the check finds a holder that ignores how long a call may take', async () => {
  const details = await searchViolations(RUNS, (options) => new ZeroArrivalDuty(options));
  assert.ok(details.failed);
});

test('a VM that regains the duty waits, so that holders A, B, A do not follow closely', async () => {
  const faults: InjectedFault[] = [
    { atMs: 6_000, vm: 0, kind: 'stop', forMs: 1_000 },
    { atMs: 7_700, vm: 1, kind: 'stop', forMs: 60_000 },
  ];
  const simulateWith = async (
    createDuty?: SimulationOptions['createDuty'],
  ): Promise<DutySimulation> => {
    let isLate = true;
    // The first VM's last call arrives late, all following ones at once.
    const options = { vms: 2, isFenced: false, faults, createDuty };
    const simulation = new DutySimulation({ ...options, random: () => (isLate ? 0.95 : 0.05) });
    await simulation.runUntil(6_000);
    isLate = false;
    await simulation.runUntil(SINGLE_FAULT_RUN_MS);
    return simulation;
  };
  const simulation = await simulateWith();
  assert.equal(listHolders(simulation), ['0/1', '1/1', '0/3']);
  assert.equal(findViolations(simulation.calls), []);
  const withoutDelay = await simulateWith(
    (options) => new LeasedDuty({ ...options, reacquireDelayMs: 0 }),
  );
  assert.equal(listHolders(withoutDelay), ['0/1', '1/1', '0/3']);
  assert.ok(findViolations(withoutDelay.calls).length > 0);
});

test.run();
