import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet from './fleet.fixture.js';

const WINDOW_S = 4;
const SEEDS = [1, 2, 3];
const END_MS = 30_000;

/** What targets bear in any window in a steady fleet. */
function mostOf(perSecond: number): number {
  return 1.1 * perSecond * WINDOW_S + 2;
}

/** What they bear around faults. */
function mostInFaults(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_S + 5;
}

function create(size: number, perSecond: number, seed: number, targets = 2): Fleet {
  const fleet = new Fleet({ size, targets, seed });
  fleet.perSecond = perSecond;
  return fleet;
}

for (const size of [3, 6, 88, 195]) {
  test(`${size} VMs together keep to what targets name, and use it, wherever the demand is`, () => {
    for (const perSecond of [0.3, 1.7, 12]) {
      for (const where of ['one', 'any', 'moving']) {
        const fleet = create(size, perSecond, size + perSecond);
        const choose = {
          one: () => 1,
          any: fleet.any,
          moving: () => Math.floor(fleet.now / 5_000) % size,
        }[where]!;
        fleet.load(perSecond * 2 * 4 + 5, END_MS, choose);
        fleet.playUntil(END_MS);
        const what = `${perSecond}/s at ${where}`;
        const most = fleet.mostInWindow();
        assert.ok(most <= mostOf(perSecond), `${what}: ${most} in a window`);
        const used = fleet.usedIn(10_000, END_MS, perSecond);
        assert.ok(used >= 0.9, `${what}: ${used} used`);
      }
    }
  });
}

test('a rate above what is sent is not felt', () => {
  const fleet = create(6, 2_000, 1);
  fleet.load(60, 10_000, fleet.any);
  fleet.playUntil(10_000);
  const waits = fleet.sends.map(({ waitedMs }) => waitedMs);
  assert.is(fleet.refusals.length + fleet.overdue, 0);
  assert.ok(waits.filter((ms) => ms > 0).length < waits.length / 20);
});

test('what can not be served in time is refused at once, with times that differ', () => {
  const fleet = create(6, 1, 2);
  fleet.load(40, END_MS, fleet.any);
  fleet.playUntil(END_MS);
  const held = fleet.refusals.map(({ heldMs }) => heldMs).sort((a, b) => a - b);
  assert.ok(held[held.length >> 1]! < 100);
  const back = fleet.refusals.map(({ atMs, retryAfterMs }) => Math.round(atMs + retryAfterMs));
  assert.ok(new Set(back).size > back.length / 2);
});

test('the more urgent requests are served first', () => {
  const fleet = create(6, 2, 3);
  fleet.load(3, END_MS, fleet.any, 1_000, 0);
  fleet.load(40, END_MS, fleet.any, 1_000, 5);
  fleet.playUntil(END_MS);
  const late = fleet.sends.filter(({ atMs }) => atMs > 5_000);
  const urgent = late.filter(({ rank }) => rank === 0).length;
  const refused = fleet.refusals.filter(({ rank, atMs }) => rank === 0 && atMs > 5_000).length;
  assert.ok(refused < urgent / 10, `${refused} refused, ${urgent} sent`);
});

test('a limit ends when a later request is answered without it', () => {
  const fleet = create(6, 0, 4);
  fleet.load(20, 60_000, fleet.any);
  fleet.at(10_000, () => (fleet.perSecond = undefined));
  fleet.playUntil(60_000);
  const sentLate = fleet.sends.filter(({ atMs }) => atMs > 50_000).length;
  assert.ok(sentLate > 150, `${sentLate} sent once the need was over`);
});

test('words of a target that VMs heard at the same moment do not go round for ever', () => {
  for (const seed of SEEDS) {
    const fleet = create(6, 0, seed);
    const hear = (vm: number, perSecond: number): void =>
      fleet.vms[vm]!.permits.onResponse('t0', { kind: 'rate', perSecond }, fleet.now);
    fleet.at(1_000, () => hear(0, 5));
    fleet.at(2_000, () => [0, 1, 2].forEach((vm) => hear(vm, vm)));
    fleet.playUntil(3_000);
    const told = fleet.messages;
    fleet.playUntil(10_000);
    assert.is(fleet.messages, told);
  }
});

const FAULTS: Readonly<Record<string, (fleet: Fleet) => void>> = {
  'the VM that grants is killed and comes back': (fleet) => {
    fleet.at(8_000, () => fleet.kill(0));
    fleet.at(14_000, () => fleet.restart(0));
  },
  'all VMs are killed at once': (fleet) => {
    fleet.at(8_000, () => fleet.vms.forEach((_, index) => fleet.kill(index)));
    fleet.at(8_500, () => fleet.vms.forEach((_, index) => fleet.restart(index)));
  },
  'the VM that grants stands still, and goes on': (fleet) => {
    fleet.at(8_000, () => fleet.freeze(0, 1_500));
    fleet.at(15_000, () => fleet.freeze(0, 3_000));
  },
  'the VM that grants is cut from half of the others': (fleet) => {
    const isFar = (name: string): boolean => Number(name.slice(2)) % 2 === 1;
    const cut = (a: string, b: string): boolean =>
      (a === 'vm0' && isFar(b)) || (b === 'vm0' && isFar(a));
    fleet.at(8_000, () => (fleet.isCut = cut));
    fleet.at(16_000, () => (fleet.isCut = () => false));
  },
  'the fleet is parted in two': (fleet) => {
    const sideOf = (name: string): number => Number(name.slice(2)) % 2;
    fleet.at(8_000, () => (fleet.isCut = (a, b) => sideOf(a) !== sideOf(b)));
    fleet.at(16_000, () => (fleet.isCut = () => false));
  },
};

for (const [fault, strike] of Object.entries(FAULTS)) {
  test(`targets bear what comes where ${fault}`, () => {
    for (const seed of SEEDS) {
      for (const perSecond of [0.3, 2, 12]) {
        const fleet = create(6, perSecond, seed);
        fleet.load(perSecond * 8 + 10, END_MS, fleet.any);
        strike(fleet);
        fleet.playUntil(END_MS);
        const most = fleet.mostInWindow();
        assert.ok(most <= mostInFaults(perSecond), `${perSecond}/s: ${most} in a window`);
        const used = fleet.usedIn(24_000, END_MS, perSecond);
        assert.ok(used >= 0.5, `${perSecond}/s: ${used} used behind it`);
      }
    }
  });
}

test.run();
