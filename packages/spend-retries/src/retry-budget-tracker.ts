/** Counts one VM's sends to one service against the retry budget that all VMs share. */
import type { Millis } from '@limelead/types';

/** Buckets that a window is counted in; the window is rounded up by one of them. */
const BUCKETS = 20;
/** Part of the budget that is left unspent, since several VMs count for themselves. */
const USABLE_SHARE = 0.8;
/** With fewer repeats left than this, a VM asks its peers for some of theirs. */
const LOW_RETRIES = 1;
/** Smallest part of a repeat that is lent; less is not worth a message. */
const MIN_LENT_RETRIES = 0.25;
/** What sums of parts may lack of a whole repeat by rounding. */
const ROUNDING_TOLERANCE = 1e-9;
/**
 * Part of a window in which borrowed repeats have to be spent, since their lender
 * counted them already. A shorter time would waste them.
 */
const BORROWED_TTL_SHARE = 0.5;

/** What all VMs together may spend. */
export interface RetryBudgetLimits {
  /** Repeats allowed for each first send. */
  ratio: number;
  /** Repeats allowed on top, in any window. */
  slack: number;
  windowMs: number;
}

interface Bucket {
  startMs: Millis;
  firstAttempts: number;
  /** Repeats spent or lent. */
  retries: number;
}

interface BorrowedRetries {
  retries: number;
  expiresAtMs: Millis;
}

/** Counts one VM's sends to one service. */
export default class RetryBudgetTracker {
  private readonly buckets: Bucket[] = [];
  private borrowed: BorrowedRetries[] = [];

  /** @param onLow called when few repeats or none are left */
  constructor(
    private limits: RetryBudgetLimits,
    private readonly onLow: () => void = () => undefined,
  ) {}

  /** Puts other bounds in force. What was sent and spent so far still counts. */
  changeLimits(budget: RetryBudgetLimits): void {
    this.limits = budget;
  }

  /** A request was sent for the first time. */
  recordFirstAttempt(now: Millis): void {
    this.bucketAt(now).firstAttempts += 1;
  }

  /**
   * Takes one repeat out of the budget, or says no.
   * @param vms number of VMs that share the slack
   */
  trySpend(now: Millis, vms: number): boolean {
    const isPaid = this.spendOne(now, vms);
    if (this.countAvailable(now, vms) < LOW_RETRIES) {
      this.onLow();
    }
    return isPaid;
  }

  /** A repeat that was paid for reached no target. */
  refund(now: Millis): void {
    this.bucketAt(now).retries -= 1;
  }

  /**
   * Gives repeats to another VM, which are then spent here; fewer than wanted, or
   * none. Nothing is kept back, and parts of a repeat are lent too: in a fleet of
   * hundreds a VM's own part is one repeat or less, and one that lent it borrows in
   * its turn.
   */
  lend(now: Millis, vms: number, wanted: number): number {
    const lent = Math.min(wanted, this.countOwnAvailable(now, vms));
    if (lent < MIN_LENT_RETRIES) {
      return 0;
    }
    this.bucketAt(now).retries += lent;
    return lent;
  }

  /** Takes repeats that another VM lent. */
  borrow(now: Millis, repeats: number): void {
    this.borrowed.push({
      retries: repeats,
      expiresAtMs: now + this.limits.windowMs * BORROWED_TTL_SHARE,
    });
  }

  /** Repeats that this VM may still spend, its own and borrowed ones. */
  countAvailable(now: Millis, vms: number): number {
    return this.countOwnAvailable(now, vms) + this.countBorrowed(now);
  }

  /** Repeats of this VM's own part that are left in the present window. */
  countOwnAvailable(now: Millis, vms: number): number {
    const current = this.bucketAt(now);
    const counted = this.buckets.filter(
      ({ startMs }) => startMs > current.startMs - this.countedMs,
    );
    const firstSends = sum(counted, ({ firstAttempts }) => firstAttempts);
    const repeats = sum(counted, ({ retries }) => retries);
    const allowed = this.limits.ratio * firstSends + this.limits.slack / Math.max(1, vms);
    return USABLE_SHARE * allowed - repeats;
  }

  /**
   * Takes one repeat, of loans as far as they go, since those end, and the rest of this
   * VM's own part: neither has to hold a whole one. Streams waited up to 5 s for a
   * repeat while 0.6 of an own one and 0.5 of a borrowed one lay idle.
   */
  private spendOne(now: Millis, vms: number): boolean {
    const borrowed = Math.min(1, this.countBorrowed(now));
    const own = 1 - borrowed;
    if (own > ROUNDING_TOLERANCE && this.countOwnAvailable(now, vms) < own - ROUNDING_TOLERANCE) {
      return false;
    }
    this.spendBorrowed(borrowed);
    this.bucketAt(now).retries += own;
    return true;
  }

  /** Takes so many repeats out of the loans, those that end first. */
  private spendBorrowed(repeats: number): void {
    let missing = repeats;
    for (const loan of this.borrowed) {
      const taken = Math.min(missing, loan.retries);
      loan.retries -= taken;
      missing -= taken;
    }
  }

  /** Repeats of loans that are still to be spent; the others are dropped. */
  private countBorrowed(now: Millis): number {
    this.borrowed = this.borrowed.filter(
      ({ retries, expiresAtMs }) => retries > 0 && expiresAtMs > now,
    );
    return sum(this.borrowed, ({ retries }) => retries);
  }

  private get bucketMs(): number {
    return this.limits.windowMs / BUCKETS;
  }

  private get countedMs(): number {
    return this.limits.windowMs + this.bucketMs;
  }

  private bucketAt(now: Millis): Bucket {
    const startMs = Math.floor(now / this.bucketMs) * this.bucketMs;
    const last = this.buckets.at(-1);
    if (last !== undefined && last.startMs >= startMs) {
      return last;
    }
    const bucket = { startMs, firstAttempts: 0, retries: 0 };
    this.buckets.push(bucket);
    while ((this.buckets[0]?.startMs ?? startMs) <= startMs - this.countedMs) {
      this.buckets.shift();
    }
    return bucket;
  }
}

function sum<Item>(items: Item[], read: (item: Item) => number): number {
  return items.reduce((total, item) => total + read(item), 0);
}
