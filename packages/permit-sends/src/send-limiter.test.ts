import { test } from 'uvu';
import * as assert from 'uvu/assert';
import Fleet from './fleet.fixture.js';

const WINDOW_S = 4;
const SEEDS = [1, 2, 3];
const END_MS = 30_000;

/** Maximum sends to a target in a window while the fleet is steady. */
function maxSteadySends(perSecond: number): number {
  return 1.1 * perSecond * WINDOW_S + 2;
}

/** Maximum sends to a target in a window during faults. */
function maxSendsDuringFaults(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_S + 5;
}

function create(size: number, perSecond: number, seed: number, targets = 2): Fleet {
  const fleet = new Fleet({ size, targets, seed });
  fleet.perSecond = perSecond;
  return fleet;
}

for (const size of [3, 6, 88, 195]) {
  test(`${size} VMs together stay within the limits and use them, wherever the load arrives`, () => {
    for (const perSecond of [0.3, 1.7, 12]) {
      for (const where of ['one', 'any', 'moving']) {
        const fleet = create(size, perSecond, size + perSecond);
        const choose = {
          one: () => 1,
          any: fleet.pickAnyVm,
          moving: () => Math.floor(fleet.now / 5_000) % size,
        }[where]!;
        fleet.startLoad(perSecond * 2 * 4 + 5, END_MS, choose);
        fleet.runUntil(END_MS);
        const what = `${perSecond}/s at ${where}`;
        const most = fleet.maxSendsInWindow();
        assert.ok(most <= maxSteadySends(perSecond), `${what}: ${most} in a window`);
        const used = fleet.shareOfRateUsed(10_000, END_MS, perSecond);
        assert.ok(used >= 0.9, `${what}: ${used} used`);
      }
    }
  });
}

test('a limit above the load neither delays nor refuses requests', () => {
  const fleet = create(6, 2_000, 1);
  fleet.startLoad(60, 10_000, fleet.pickAnyVm);
  fleet.runUntil(10_000);
  const waits = fleet.sends.map(({ waitedMs }) => waitedMs);
  assert.is(fleet.refusals.length + fleet.expiredCount, 0);
  assert.ok(waits.filter((ms) => ms > 0).length < waits.length / 20);
});

test('requests that can not be served in time are refused at once, with different retry times', () => {
  const fleet = create(6, 1, 2);
  fleet.startLoad(40, END_MS, fleet.pickAnyVm);
  fleet.runUntil(END_MS);
  const held = fleet.refusals.map(({ heldMs }) => heldMs).sort((a, b) => a - b);
  assert.ok(held[held.length >> 1]! < 100);
  const back = fleet.refusals.map(({ atMs, retryAfterMs }) => Math.round(atMs + retryAfterMs));
  assert.ok(new Set(back).size > back.length / 2);
});

test('more urgent requests are served first', () => {
  const fleet = create(6, 2, 3);
  fleet.startLoad(3, END_MS, fleet.pickAnyVm, 1_000, 0);
  fleet.startLoad(40, END_MS, fleet.pickAnyVm, 1_000, 5);
  fleet.runUntil(END_MS);
  const late = fleet.sends.filter(({ atMs }) => atMs > 5_000);
  const urgent = late.filter(({ rank }) => rank === 0).length;
  const refused = fleet.refusals.filter(({ rank, atMs }) => rank === 0 && atMs > 5_000).length;
  assert.ok(refused < urgent / 10, `${refused} refused, ${urgent} sent`);
});

test('a limit ends when the response to a later request names none', () => {
  const fleet = create(6, 0, 4);
  fleet.startLoad(20, 60_000, fleet.pickAnyVm);
  fleet.schedule(10_000, () => (fleet.perSecond = undefined));
  fleet.runUntil(60_000);
  const sentLate = fleet.sends.filter(({ atMs }) => atMs > 50_000).length;
  assert.ok(sentLate > 150, `${sentLate} sent after the limit ended`);
});

test('limit updates of the same moment are not gossiped forever', () => {
  for (const seed of SEEDS) {
    const fleet = create(6, 0, seed);
    const receiveLimit = (vm: number, perSecond: number): void =>
      fleet.vms[vm]!.limiter.onResponse('t0', { kind: 'rate', perSecond }, fleet.now);
    fleet.schedule(1_000, () => receiveLimit(0, 5));
    fleet.schedule(2_000, () => [0, 1, 2].forEach((vm) => receiveLimit(vm, vm)));
    fleet.runUntil(3_000);
    const countBefore = fleet.messageCount;
    fleet.runUntil(10_000);
    assert.is(fleet.messageCount, countBefore);
  }
});

const FAULTS: Readonly<Record<string, (fleet: Fleet) => void>> = {
  'the grantor is killed and restarted': (fleet) => {
    fleet.schedule(8_000, () => fleet.kill(0));
    fleet.schedule(14_000, () => fleet.restart(0));
  },
  'all VMs are killed at once': (fleet) => {
    fleet.schedule(8_000, () => fleet.vms.forEach((_, index) => fleet.kill(index)));
    fleet.schedule(8_500, () => fleet.vms.forEach((_, index) => fleet.restart(index)));
  },
  'all VMs are killed at once and know only themselves at first': (fleet) => {
    fleet.linkedAfterMs = 400;
    fleet.schedule(8_000, () => fleet.vms.forEach((_, index) => fleet.kill(index)));
    fleet.schedule(8_500, () => fleet.vms.forEach((_, index) => fleet.restart(index)));
  },
  'VMs restart in turn, each before the next one knows it': (fleet) => {
    fleet.linkedAfterMs = 400;
    fleet.vms.forEach((_, index) => {
      fleet.schedule(8_000 + index * 700, () => fleet.kill(index));
      fleet.schedule(8_300 + index * 700, () => fleet.restart(index));
    });
  },
  'the grantor is frozen for a time': (fleet) => {
    fleet.schedule(8_000, () => fleet.freeze(0, 1_500));
    fleet.schedule(15_000, () => fleet.freeze(0, 3_000));
  },
  'the grantor loses its links to half of the others': (fleet) => {
    const isFar = (name: string): boolean => Number(name.slice(2)) % 2 === 1;
    const cut = (a: string, b: string): boolean =>
      (a === 'vm0' && isFar(b)) || (b === 'vm0' && isFar(a));
    fleet.schedule(8_000, () => (fleet.isLinkCut = cut));
    fleet.schedule(16_000, () => (fleet.isLinkCut = () => false));
  },
  'the fleet is partitioned in two': (fleet) => {
    const sideOf = (name: string): number => Number(name.slice(2)) % 2;
    fleet.schedule(8_000, () => (fleet.isLinkCut = (a, b) => sideOf(a) !== sideOf(b)));
    fleet.schedule(16_000, () => (fleet.isLinkCut = () => false));
  },
};

for (const [fault, inject] of Object.entries(FAULTS)) {
  test(`sends stay near the limit while ${fault}`, () => {
    for (const seed of SEEDS) {
      for (const perSecond of [0.3, 2, 12]) {
        const fleet = create(6, perSecond, seed);
        fleet.startLoad(perSecond * 8 + 10, END_MS, fleet.pickAnyVm);
        inject(fleet);
        fleet.runUntil(END_MS);
        const most = fleet.maxSendsInWindow();
        assert.ok(most <= maxSendsDuringFaults(perSecond), `${perSecond}/s: ${most} in a window`);
        const used = fleet.shareOfRateUsed(24_000, END_MS, perSecond);
        assert.ok(used >= 0.5, `${perSecond}/s: ${used} used after the fault`);
      }
    }
  });
}

test.run();
