import type { LogFields } from '@limelead/decision-log';
import type { ConditionalStore, StoreEntry } from '@limelead/ports';
import type { ServiceTarget } from '@limelead/types';
import { PortFault } from '@limelead/errors';
import * as E from 'fp-ts/lib/Either.js';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  BAD_KINDS,
  BOUNDS,
  createRandom,
  findViolations,
  simulateRollOut,
  type SimulationPlan,
} from './fleet.fixture.js';
import RollOutController, { type RollOutSnapshot } from './roll-out-controller.js';
import planStep, { type StepInputs } from './plan-step.js';
import { decodeStep, stepKey } from './step-item.js';
import StepWriter, { canFollow } from './step-writer.js';
import type { AgreedStep, RollOutStep } from './types.js';

const DEFAULT_PLAN: Omit<SimulationPlan, 'kind' | 'seed'> = {
  vms: 3,
  durationMs: 60_000,
  hasFaults: true,
};
const SEEDS = [1, 2, 3, 4];

for (const kind of ['good', ...BAD_KINDS] as const) {
  test(`a version that is ${kind}: exposure limits and final state hold under faults`, async () => {
    for (const seed of SEEDS) {
      const plan = { ...DEFAULT_PLAN, seed, kind };
      assert.equal(findViolations(plan, await simulateRollOut(plan)), [], `seed ${seed}`);
    }
  });
}

test('the check fails when verdicts are ignored', async () => {
  const plan: SimulationPlan = {
    ...DEFAULT_PLAN,
    seed: 1,
    kind: 'at-once',
    createTest: () => ({ evaluate: () => undefined }),
  };
  const violations = findViolations(plan, await simulateRollOut(plan));
  assert.ok(violations.includes('exposure') && violations.includes('duty'), violations.join());
});

const STEPS: RollOutStep[] = ['trial', 'move', 'completed', 'rolled_back'];

function agreedStep(step: RollOutStep, order = 5): AgreedStep {
  return { order, version: 'v2', step, replaces: ['v1'] };
}

test('no step replaces a final one of the same order, and a later order replaces any step', () => {
  for (const step of STEPS) {
    assert.not.ok(canFollow(agreedStep('completed'), agreedStep(step)));
    assert.not.ok(canFollow(agreedStep('rolled_back'), agreedStep(step)));
    assert.ok(canFollow(agreedStep('completed'), agreedStep(step, 6)));
    assert.not.ok(canFollow(agreedStep('trial', 6), agreedStep(step)));
  }
});

/** A single VM that holds the duty, with an in-memory store. */
function createSingleVm() {
  const items = new Map<string, StoreEntry>();
  const lines: LogFields[] = [];
  let now = 0;
  let revision = 10;
  let fault: PortFault | undefined;
  let known: RollOutSnapshot = { orders: [], steps: new Map(), targets: [] };
  const store: ConditionalStore = {
    read: (key) => async () => E.right(items.get(key)),
    write: (conditions, writes) => async () => {
      if (conditions.some((entry) => (items.get(entry.key)?.revision ?? 0) !== entry.revision)) {
        return E.right({ kind: 'mismatch' as const });
      }
      revision += 1;
      for (const write of writes) {
        if (write.kind === 'put') {
          items.set(write.key, { ...write, revision });
        }
      }
      return fault ? E.left(fault) : E.right({ kind: 'written' as const, revision });
    },
    grantLease: () => async () => E.left(new PortFault('invalid', 'no', 'not asked for')),
    renewLease: () => async () => E.right(true),
    endLease: () => async () => E.right(undefined),
  };
  const log = {
    write: (event: string, fields?: LogFields) => void lines.push({ event, ...fields }),
    flush: async () => undefined,
    dropped: 0,
  };
  const rollOuts = new RollOutController({
    clock: { now: () => now },
    random: createRandom(1),
    log,
    metrics: { count: () => undefined },
    bounds: BOUNDS,
    incarnation: 'vm/1',
    writer: new StepWriter({
      store,
      log,
      duty: { permit: () => ({ token: 1, heldSinceMs: 0 }) },
      composeState: (service, state, version) => ({
        key: `status/${service}`,
        value: Buffer.from(`${state} ${version}`),
      }),
    }),
    isService: (name) => name === 's',
    listTargets: () => known.targets.map((target) => ({ target, inFlight: 0 })),
    isSuspected: () => false,
    countVms: () => 1,
    countReportingVms: () => 1,
    isUpToDate: () => true,
    isAggregator: () => true,
    sendToAggregators: () => undefined,
    broadcast: () => undefined,
  });
  const take = (change: Partial<RollOutSnapshot>): void => {
    const item = items.get(stepKey('s'));
    const agreed = item && decodeStep(item.value);
    known = { ...known, steps: new Map(agreed ? [['s', agreed]] : []), ...change };
    rollOuts.onSnapshot(known);
  };
  return {
    rollOuts,
    lines,
    items,
    take,
    failWrites: (next?: PortFault) => (fault = next),
    status: (service = 's') => items.get(`status/${service}`)?.value.toString(),
    async runFor(ms: number): Promise<void> {
      for (const untilMs = now + ms; now < untilMs; now += 500) {
        rollOuts.runRound();
        await new Promise((resolve) => setImmediate(resolve));
        take({});
      }
    },
  };
}

function target(version: string, index = 0): ServiceTarget {
  const id = `${version}-${index}`;
  return {
    id,
    service: 's',
    host: 'h',
    port: 1,
    failureDomain: 'a',
    slots: 1,
    leaving: false,
    version,
  };
}

function order(version = 'v2', durationMs = 60_000, service = 's', revision = 5) {
  return { order: { service, version, durationMs }, revision };
}

const BAD_ORDERS = [
  { name: 'an unknown service', given: order('v2', 60_000, 'x'), reason: 'unknown-service' },
  { name: 'a duration of 0', given: order('v2', 0), reason: 'duration-out-of-range' },
  {
    name: 'a duration beyond a day',
    given: order('v2', 86_400_001),
    reason: 'duration-out-of-range',
  },
] as const;

for (const { name, given, reason } of BAD_ORDERS) {
  test(`${name} is rolled back and logged`, async () => {
    const vm = createSingleVm();
    vm.take({ targets: [target('v1')] });
    vm.take({ orders: [given] });
    await vm.runFor(1_000);
    assert.is(vm.status(given.order.service), 'rolled_back v2');
    const seen = vm.lines.find(({ event }) => event === 'roll-out-seen');
    assert.is(seen?.['fault'], reason);
  });
}

test('an order for the active version is completed at once', async () => {
  const vm = createSingleVm();
  vm.take({ targets: [target('v2')] });
  vm.take({ orders: [order()] });
  await vm.runFor(1_000);
  assert.is(vm.status(), 'completed v2');
});

test('a version without targets is rolled back by the deadline', async () => {
  const vm = createSingleVm();
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order()] });
  await vm.runFor(50_000);
  assert.is(vm.status(), 'running v2');
  await vm.runFor(9_000);
  assert.is(vm.status(), 'rolled_back v2');
  assert.is(vm.lines.at(-2)?.['reason'], 'no-target');
});

test('a deleted order is rolled back, and its version gets no more requests', async () => {
  const vm = createSingleVm();
  const targets = [target('v1'), target('v2')];
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order()], targets });
  await vm.runFor(2_000);
  vm.take({ orders: [] });
  await vm.runFor(20_000);
  assert.is(vm.status(), 'rolled_back v2');
  const usable = targets.map((known) => ({ target: known }));
  assert.equal(vm.rollOuts.groupByPreference('s', usable, false), [usable.slice(0, 1)]);
});

test('a second order replaces the first, whose version gets no more requests', async () => {
  const vm = createSingleVm();
  const targets = [target('v1'), target('v2'), target('v3')];
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order()], targets: targets.slice(0, 2) });
  await vm.runFor(2_000);
  vm.take({ orders: [order('v3', 60_000, 's', 12)], targets });
  await vm.runFor(10_000);
  assert.is(vm.status(), 'running v3');
  const [first, second] = vm.rollOuts.groupByPreference(
    's',
    targets.map((known) => ({ target: known })),
    false,
  );
  const ids = (group: readonly { target: ServiceTarget }[] = []) =>
    group.map((known) => known.target.id);
  assert.equal([ids(first), ids(second)], [['v3-0'], ['v1-0']]);
});

test('a version without an order is not used until an order would have arrived', async () => {
  const vm = createSingleVm();
  const targets = [target('v1'), target('v2')];
  vm.take({ targets: [target('v1')] });
  vm.take({ targets });
  const usable = targets.map((known) => ({ target: known }));
  assert.equal(vm.rollOuts.groupByPreference('s', usable, false), [usable.slice(0, 1)]);
  assert.not.ok(vm.rollOuts.isAllowed(target('v2')));
  await vm.runFor(5_500);
  assert.equal(vm.rollOuts.groupByPreference('s', usable, false), [usable]);
});

test('a replacement target of the same version is used at once without grouping', () => {
  const vm = createSingleVm();
  vm.take({ targets: [target('v1')] });
  vm.take({ targets: [target('v1'), target('v1', 1)] });
  const usable = [target('v1'), target('v1', 1)].map((known) => ({ target: known }));
  assert.is(vm.rollOuts.groupByPreference('s', usable, false)[0], usable);
});

test('a retry is not sent to the version under trial', async () => {
  const vm = createSingleVm();
  const targets = [target('v1'), target('v2')];
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order()], targets });
  await vm.runFor(2_000);
  const usable = targets.map((known) => ({ target: known }));
  assert.is(vm.rollOuts.groupByPreference('s', usable, false).length, 2);
  assert.equal(vm.rollOuts.groupByPreference('s', usable, true), [usable.slice(0, 1)]);
});

test('a stream that the version under trial began goes on there while the bound allows it', async () => {
  const vm = createSingleVm();
  const targets = [target('v1'), target('v2')];
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order()], targets });
  await vm.runFor(2_000);
  const ofTrial = [{ target: target('v2') }];
  assert.equal(vm.rollOuts.groupByPreference('s', ofTrial, true), [ofTrial, []]);
});

test('a VM that starts after the order gets no share of the slack', async () => {
  const vm = createSingleVm();
  vm.take({ orders: [order()], targets: [target('v1'), target('v2')] });
  await vm.runFor(2_000);
  assert.is(vm.status(), 'running v2');
  assert.not.ok(vm.rollOuts.shouldSendTrial('s'));
});

test('a write whose answer was lost is not repeated', async () => {
  const vm = createSingleVm();
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order()] });
  vm.failWrites(new PortFault('timeout', 'maybe', 'no answer'));
  await vm.runFor(500);
  const { revision } = vm.items.get('status/s') ?? {};
  vm.failWrites();
  await vm.runFor(2_000);
  assert.is(vm.items.get('status/s')?.revision, revision);
  assert.ok(vm.lines.some(({ event }) => event === 'roll-out-write-failed'));
});

test('long after a roll-out, targets of the old version are used again without an order', async () => {
  const vm = createSingleVm();
  vm.take({ targets: [target('v2')] });
  vm.take({ orders: [order()] });
  await vm.runFor(1_000);
  vm.take({ orders: [], targets: [target('v2'), target('v1')] });
  await vm.runFor(40_000);
  assert.ok(vm.rollOuts.isAllowed(target('v1')));
});

test('a rolled-back version may be used without an order once its order is deleted', async () => {
  const vm = createSingleVm();
  vm.take({ targets: [target('v1')] });
  vm.take({ orders: [order('v2', 0)], targets: [target('v1'), target('v2')] });
  await vm.runFor(60_000);
  assert.not.ok(vm.rollOuts.isAllowed(target('v2')));
  vm.take({ orders: [] });
  await vm.runFor(40_000);
  assert.ok(vm.rollOuts.isAllowed(target('v2')));
});

test('a step whose order was deleted is ended by a VM that never saw the order ', async () => {
  const vm = createSingleVm();
  vm.items.set(stepKey('s'), {
    key: stepKey('s'),
    value: Buffer.from(JSON.stringify(agreedStep('trial'))),
    revision: 7,
  });
  vm.take({ targets: [target('v1'), target('v2')] });
  await vm.runFor(1_000);
  assert.is(vm.status(), 'rolled_back v2');
});

const MOVING: StepInputs = {
  step: 'move',
  durationMs: 20_000,
  ageMs: 19_000,
  movingForMs: 500,
  isOrdered: true,
  isBad: false,
  isAlreadyActive: false,
  targetCount: 1,
  answers: 100,
  isDrained: false,
};

test('no move starts too late to be observed, and none completes unobserved', () => {
  assert.is(planStep({ ...MOVING, step: 'trial', ageMs: 17_500 }), undefined);
  assert.is(planStep({ ...MOVING, step: 'trial', ageMs: 14_000 })?.step, 'move');
  assert.is(planStep(MOVING), undefined);
  assert.is(planStep({ ...MOVING, movingForMs: 3_000 })?.reason, 'time-is-over');
});

test.run();
