/** Counts one VM's sends to one service against the retry budget that all VMs share. */
import type { Millis } from '@limelead/types';

/** Buckets that a window is counted in; the window is rounded up by one of them. */
const BUCKETS = 20;
/** Part of the budget that is left unspent, since several VMs count for themselves. */
const SAFETY = 0.8;
/** With fewer repeats left than this, a VM asks its peers for some of theirs. */
const LOW_REPEATS = 1;
/** Smallest part of a repeat that is lent; less is not worth a message. */
const LEAST_LOAN = 0.25;
/** What sums of parts may lack of a whole repeat by rounding. */
const ROUNDING = 1e-9;
/**
 * Part of a window in which borrowed repeats have to be spent, since their lender
 * counted them already. A shorter time would waste them.
 */
const LOAN_SHARE = 0.5;

/** What all VMs together may spend. */
export interface RetryBudget {
  /** Repeats allowed for each first send. */
  ratio: number;
  /** Repeats allowed on top, in any window. */
  slack: number;
  windowMs: number;
}

interface Bucket {
  startMs: Millis;
  firstSends: number;
  /** Repeats spent or lent. */
  repeats: number;
}

interface Loan {
  repeats: number;
  untilMs: Millis;
}

/** Counts one VM's sends to one service. */
export default class RetrySpender {
  private readonly buckets: Bucket[] = [];
  private loans: Loan[] = [];

  /** @param onShort called when few repeats or none are left */
  constructor(
    private budget: RetryBudget,
    private readonly onShort: () => void = () => undefined,
  ) {}

  /** Puts other bounds in force. What was sent and spent so far still counts. */
  changeBudget(budget: RetryBudget): void {
    this.budget = budget;
  }

  /** A request was sent for the first time. */
  noteFirstSend(now: Millis): void {
    this.bucketAt(now).firstSends += 1;
  }

  /**
   * Takes one repeat out of the budget, or says no.
   * @param vms number of VMs that share the slack
   */
  trySpend(now: Millis, vms: number): boolean {
    const isPaid = this.spendOne(now, vms);
    if (this.left(now, vms) < LOW_REPEATS) {
      this.onShort();
    }
    return isPaid;
  }

  /** A repeat that was paid for reached no target. */
  giveBack(now: Millis): void {
    this.bucketAt(now).repeats -= 1;
  }

  /**
   * Gives repeats to another VM, which are then spent here; fewer than wanted, or
   * none. Nothing is kept back, and parts of a repeat are lent too: in a fleet of
   * hundreds a VM's own part is one repeat or less, and one that lent it borrows in
   * its turn.
   */
  lend(now: Millis, vms: number, wanted: number): number {
    const lent = Math.min(wanted, this.remaining(now, vms));
    if (lent < LEAST_LOAN) {
      return 0;
    }
    this.bucketAt(now).repeats += lent;
    return lent;
  }

  /** Takes repeats that another VM lent. */
  borrow(now: Millis, repeats: number): void {
    this.loans.push({ repeats, untilMs: now + this.budget.windowMs * LOAN_SHARE });
  }

  /** Repeats that this VM may still spend, its own and borrowed ones. */
  left(now: Millis, vms: number): number {
    return this.remaining(now, vms) + this.borrowed(now);
  }

  /** Repeats of this VM's own part that are left in the present window. */
  remaining(now: Millis, vms: number): number {
    const current = this.bucketAt(now);
    const counted = this.buckets.filter(({ startMs }) => startMs > current.startMs - this.spanMs);
    const firstSends = sum(counted, ({ firstSends }) => firstSends);
    const repeats = sum(counted, ({ repeats }) => repeats);
    const allowed = this.budget.ratio * firstSends + this.budget.slack / Math.max(1, vms);
    return SAFETY * allowed - repeats;
  }

  /**
   * Takes one repeat, of loans as far as they go, since those end, and the rest of this
   * VM's own part: neither has to hold a whole one. Streams waited up to 5 s for a
   * repeat while 0.6 of an own one and 0.5 of a borrowed one lay idle.
   */
  private spendOne(now: Millis, vms: number): boolean {
    const borrowed = Math.min(1, this.borrowed(now));
    const own = 1 - borrowed;
    if (own > ROUNDING && this.remaining(now, vms) < own - ROUNDING) {
      return false;
    }
    this.spendLoans(borrowed);
    this.bucketAt(now).repeats += own;
    return true;
  }

  /** Takes so many repeats out of the loans, those that end first. */
  private spendLoans(repeats: number): void {
    let missing = repeats;
    for (const loan of this.loans) {
      const taken = Math.min(missing, loan.repeats);
      loan.repeats -= taken;
      missing -= taken;
    }
  }

  /** Repeats of loans that are still to be spent; the others are dropped. */
  private borrowed(now: Millis): number {
    this.loans = this.loans.filter(({ repeats, untilMs }) => repeats > 0 && untilMs > now);
    return sum(this.loans, ({ repeats }) => repeats);
  }

  private get bucketMs(): number {
    return this.budget.windowMs / BUCKETS;
  }

  private get spanMs(): number {
    return this.budget.windowMs + this.bucketMs;
  }

  private bucketAt(now: Millis): Bucket {
    const startMs = Math.floor(now / this.bucketMs) * this.bucketMs;
    const last = this.buckets.at(-1);
    if (last !== undefined && last.startMs >= startMs) {
      return last;
    }
    const bucket = { startMs, firstSends: 0, repeats: 0 };
    this.buckets.push(bucket);
    while ((this.buckets[0]?.startMs ?? startMs) <= startMs - this.spanMs) {
      this.buckets.shift();
    }
    return bucket;
  }
}

function sum<Item>(items: Item[], read: (item: Item) => number): number {
  return items.reduce((total, item) => total + read(item), 0);
}
