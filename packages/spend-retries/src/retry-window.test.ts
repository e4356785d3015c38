import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PrioritisedRetryBudget } from './index.js';

const LIMITS = { ratio: 0.8, slack: 30, windowMs: 1_000 };
/** Time after which all VMs count a VM that started, or no longer count one that was lost. */
const GOSSIP_MS = 120;

interface Vm {
  budget: PrioritisedRetryBudget;
  startedAtMs: number;
  lostAtMs: number;
}

/** A fleet on a manual clock whose VMs are lost and replaced, and whose loans are lost at times. */
class Fleet {
  now = 0;
  readonly first: number[] = [];
  readonly retried: number[] = [];
  readonly vms: Vm[] = [];

  constructor(size: number) {
    for (let index = 0; index < size; index += 1) {
      this.start(-1_000_000);
    }
  }

  get running(): Vm[] {
    return this.vms.filter(({ lostAtMs }) => lostAtMs > this.now);
  }

  start(startedAtMs = this.now): void {
    const budget = new PrioritisedRetryBudget({
      limits: LIMITS,
      clock: { now: () => this.now },
      timers: { after: () => () => undefined },
      random: { next: () => 0 },
      countVms: () => this.countKnownVms(),
      onLow: () => undefined,
    });
    this.vms.push({ budget, startedAtMs, lostAtMs: Infinity });
  }

  /** As the gateway counts: one VM more, for one that has just started. */
  private countKnownVms(): number {
    const knownAtMs = this.now - GOSSIP_MS;
    const known = this.vms.filter(
      ({ startedAtMs, lostAtMs }) => startedAtMs <= knownAtMs && lostAtMs > knownAtMs,
    );
    return Math.max(6, known.length + 1);
  }

  request(vm: Vm): void {
    vm.budget.requestRetry(
      { class: 'stream-written', rank: 1, lateAtMs: this.now + 50, untilMs: this.now + 300 },
      (decision) => {
        if (decision.outcome === 'granted') {
          vm.budget.recordSent(decision.retry, this.now);
          this.retried.push(this.now);
        }
      },
    );
  }

  assertWithinLimits(): void {
    // The last retry at each time has all of that time in its window.
    for (const end of new Set(this.retried)) {
      const inWindow = (at: number): boolean => at <= end && at > end - LIMITS.windowMs;
      const allowed = LIMITS.ratio * this.first.filter(inWindow).length + LIMITS.slack;
      const used = this.retried.filter(inWindow).length;
      assert.ok(used <= allowed, `${used} of ${allowed} retries in the window before ${end}`);
    }
  }
}

const event = fc.record({
  gapMs: fc.integer({ min: 0, max: 12 }),
  vm: fc.nat(70),
  firsts: fc.nat(2),
  retries: fc.nat(12),
  lender: fc.nat(70),
  isLoanLost: fc.boolean(),
});

// Guards against a usable share that is too large: fleets whose VMs all spend what they may.
test('VMs that lend, lose loans, are lost and replaced stay within the budget in every window', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 6, max: 71 }),
      fc.array(event, { minLength: 150, maxLength: 300 }),
      fc.integer({ min: 1, max: 200 }),
      (size, events, replacedAt) => {
        const fleet = new Fleet(size);
        events.forEach(({ gapMs, vm, firsts, retries, lender, isLoanLost }, index) => {
          fleet.now += gapMs;
          if (index === replacedAt) {
            fleet.running[vm % fleet.running.length]!.lostAtMs = fleet.now;
          }
          if (index === replacedAt + 20) {
            fleet.start();
          }
          const { running } = fleet;
          const own = running[vm % running.length]!;
          for (let first = 0; first < firsts; first += 1) {
            own.budget.recordFirstAttempt(fleet.now, true);
            fleet.first.push(fleet.now);
          }
          for (let retry = 0; retry < retries; retry += 1) {
            fleet.request(own);
          }
          const lent = running[lender % running.length]!.budget.lendForNeeds(own.budget.needs);
          if (lent > 0 && !isLoanLost) {
            own.budget.borrow(fleet.now, lent);
          }
        });
        fleet.assertWithinLimits();
      },
    ),
    { seed: 21, numRuns: 40 },
  );
});

// Guards against parts of the slack that grow when VMs are lost that have spent theirs.
test('when half of the VMs are lost, the others do not spend their parts within the window', () => {
  const fleet = new Fleet(27);
  fleet.vms.forEach((vm) => Array.from({ length: 3 }, () => fleet.request(vm)));
  fleet.vms.slice(0, 14).forEach((vm) => (vm.lostAtMs = fleet.now + 1));
  for (fleet.now = 100; fleet.now < 1_500; fleet.now += 50) {
    fleet.running.forEach((vm) => Array.from({ length: 3 }, () => fleet.request(vm)));
    fleet.running.forEach((vm, index) => {
      const other = fleet.running[(index + 1) % fleet.running.length]!;
      vm.budget.borrow(fleet.now, other.budget.lendForNeeds(vm.budget.needs));
    });
  }
  assert.ok(fleet.retried.filter((at) => at === 0).length >= 27, 'each VM spent its part');
  fleet.assertWithinLimits();
});

// Guards against borrowed retries that nobody counts between the end of the lender's window and
// that of their attempt.
test('a borrowed retry that is used late counts for a whole window', () => {
  const fleet = new Fleet(6);
  const [lender, borrower] = fleet.vms as [Vm, Vm];
  const needs = [{ class: 'stream-written', retries: 3 }];
  const lent = lender.budget.lendForNeeds(needs);
  borrower.budget.borrow(0, lent);
  assert.ok(lent >= 2);
  fleet.now = 450;
  const retry = borrower.budget.take(fleet.now, 7)!;
  borrower.budget.recordSent(retry, fleet.now);
  const spentOwn = retry.own;
  fleet.now = 1_200;
  const before = borrower.budget.countOwnAvailable(fleet.now, 7);
  fleet.now = 1_600;
  const after = borrower.budget.countOwnAvailable(fleet.now, 7);
  assert.is(spentOwn, 0);
  assert.ok(Math.abs(after - before - 1) < 1e-9, `${before} then ${after}`);
});

// Guards against borrowed retries that nobody counts while a request holds them for a slot.
test('a borrowed retry that is held beyond the count of its lender is taken from the own part', () => {
  const fleet = new Fleet(6);
  const [lender, borrower] = fleet.vms as [Vm, Vm];
  borrower.budget.borrow(0, lender.budget.lendForNeeds([{ class: 'stream-written', retries: 1 }]));
  const whole = borrower.budget.countOwnAvailable(0, 7);
  const retry = borrower.budget.take(0, 7)!;
  assert.is(retry.own, 0);
  assert.is(borrower.budget.countOwnAvailable(900, 7), whole);
  assert.ok(Math.abs(whole - borrower.budget.countOwnAvailable(1_000, 7) - 1) < 1e-9);
  borrower.budget.release(retry);
  assert.is(borrower.budget.countOwnAvailable(1_000, 7), whole);
});

test.run();
