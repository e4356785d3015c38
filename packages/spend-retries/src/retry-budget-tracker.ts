/** Counts the attempts of one VM for one service against the retry budget that all VMs share. */
import type { Millis } from '@limelead/types';

/** Buckets per window; the counted time is one bucket longer than the window. */
const BUCKETS = 20;
/** Share of the budget that is used; the rest is a reserve, since each VM counts on its own. */
const USABLE_SHARE = 0.8;
/** With fewer retries left, a VM asks its peers to lend some. */
const LOW_RETRIES = 1;
/** Smallest fraction of a retry that is lent; less is not worth a message. */
const MIN_LENT_RETRIES = 0.25;
/** Tolerance for rounding errors in sums of fractions. */
const ROUNDING_TOLERANCE = 1e-9;
/** Lifetime of borrowed retries as a share of the window in which their lender counts them. */
const BORROWED_TTL_SHARE = 0.5;

/** Limits for all VMs together. */
export interface RetryBudgetLimits {
  /** Retries allowed per first attempt. */
  ratio: number;
  /** Additional retries allowed in each window. */
  slack: number;
  windowMs: number;
}

interface Bucket {
  startMs: Millis;
  firstAttempts: number;
  /** Retries spent or lent. */
  retries: number;
}

interface BorrowedRetries {
  retries: number;
  expiresAtMs: Millis;
}

/** Retry budget of one VM for one service. */
export default class RetryBudgetTracker {
  private readonly buckets: Bucket[] = [];
  private borrowed: BorrowedRetries[] = [];

  /** @param onLow called when few or no retries are left */
  constructor(
    private limits: RetryBudgetLimits,
    private readonly onLow: () => void = () => undefined,
  ) {}

  /** Changes the limits. Attempts and retries so far still count. */
  changeLimits(limits: RetryBudgetLimits): void {
    this.limits = limits;
  }

  /** Records the first attempt of a request. */
  recordFirstAttempt(now: Millis): void {
    this.bucketAt(now).firstAttempts += 1;
  }

  /**
   * Takes one retry from the budget; false if it is exhausted.
   * @param vms number of VMs that share the slack
   */
  trySpend(now: Millis, vms: number): boolean {
    const isSpent = this.spendOne(now, vms);
    if (this.countAvailable(now, vms) < LOW_RETRIES) {
      this.onLow();
    }
    return isSpent;
  }

  /** Returns a spent retry that reached no target to the budget. */
  refund(now: Millis): void {
    this.bucketAt(now).retries -= 1;
  }

  /**
   * Lends retries to another VM and returns their number, which may be lower than `wanted` or 0.
   * Lends fractions and keeps no reserve: in a large fleet a VM's own part is one retry or less.
   */
  lend(now: Millis, vms: number, wanted: number): number {
    const lent = Math.min(wanted, this.countOwnAvailable(now, vms));
    if (lent < MIN_LENT_RETRIES) {
      return 0;
    }
    this.bucketAt(now).retries += lent;
    return lent;
  }

  /** Adds retries that another VM lent. */
  borrow(now: Millis, retries: number): void {
    this.borrowed.push({
      retries,
      expiresAtMs: now + this.limits.windowMs * BORROWED_TTL_SHARE,
    });
  }

  /** Retries that this VM may still spend, including borrowed ones. */
  countAvailable(now: Millis, vms: number): number {
    return this.countOwnAvailable(now, vms) + this.countBorrowed(now);
  }

  /** Retries left in the current window, without borrowed ones. */
  countOwnAvailable(now: Millis, vms: number): number {
    const current = this.bucketAt(now);
    const counted = this.buckets.filter(
      ({ startMs }) => startMs > current.startMs - this.countedMs,
    );
    const firstAttempts = sum(counted, ({ firstAttempts }) => firstAttempts);
    const retries = sum(counted, ({ retries }) => retries);
    const allowed = this.limits.ratio * firstAttempts + this.limits.slack / Math.max(1, vms);
    return USABLE_SHARE * allowed - retries;
  }

  /** Takes one retry, first from borrowed fractions, since they expire, then from the own part. */
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

  /** Takes retries from the borrowed ones, the oldest first. */
  private spendBorrowed(retries: number): void {
    let missing = retries;
    for (const borrowed of this.borrowed) {
      const taken = Math.min(missing, borrowed.retries);
      borrowed.retries -= taken;
      missing -= taken;
    }
  }

  /** Counts the borrowed retries and drops spent and expired ones. */
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
