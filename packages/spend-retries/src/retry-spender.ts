/** Counts one VM's sends to one service against the retry budget that all VMs share. */
import type { Millis } from '@limelead/types';

/** Buckets that a window is counted in; the window is rounded up by one of them. */
const BUCKETS = 20;
/** Part of the budget that is left unspent, since several VMs count for themselves. */
const SAFETY = 0.8;

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
  repeats: number;
}

/** Counts one VM's sends to one service. */
export default class RetrySpender {
  private readonly buckets: Bucket[] = [];

  constructor(private budget: RetryBudget) {}

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
    if (this.remaining(now, vms) < 1) {
      return false;
    }
    this.bucketAt(now).repeats += 1;
    return true;
  }

  /** Repeats that are left in the present window. */
  remaining(now: Millis, vms: number): number {
    const current = this.bucketAt(now);
    const counted = this.buckets.filter(({ startMs }) => startMs > current.startMs - this.spanMs);
    const firstSends = sum(counted, ({ firstSends }) => firstSends);
    const repeats = sum(counted, ({ repeats }) => repeats);
    const allowed = this.budget.ratio * firstSends + this.budget.slack / Math.max(1, vms);
    return SAFETY * allowed - repeats;
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

function sum(buckets: Bucket[], read: (bucket: Bucket) => number): number {
  return buckets.reduce((total, bucket) => total + read(bucket), 0);
}
