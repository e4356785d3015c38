/**
 * Counts attempts in a sliding window, in buckets. Where a bucket lies partly within the window, its
 * retries count and its first attempts do not, so that the counts never allow too much.
 */
import type { Millis } from '@limelead/types';

/** Buckets per window. */
const BUCKETS = 20;

interface Bucket {
  startMs: Millis;
  firstAttempts: number;
  /** Retries spent or lent. */
  retries: number;
  /** Largest number of VMs that was known during the bucket. */
  vms: number;
}

/** Retries that count during a given time only. */
interface DeferredCount {
  retries: number;
  fromMs: Millis;
  untilMs: Millis;
}

/** Counts of one VM and service. */
export default class AttemptWindow {
  private readonly buckets: Bucket[] = [];
  private deferred: DeferredCount[] = [];

  /**
   * @param readWindowMs returns the length of the window, which settings may change
   * @param knownSinceMs time since which all attempts of this VM are recorded
   */
  constructor(
    private readonly readWindowMs: () => Millis,
    private readonly knownSinceMs: Millis,
  ) {}

  get bucketMs(): Millis {
    return this.readWindowMs() / BUCKETS;
  }

  recordFirstAttempt(now: Millis): void {
    this.bucketAt(now).firstAttempts += 1;
  }

  /** Adds retries that count from now on; negative for retries that were returned. */
  recordRetries(now: Millis, retries: number): void {
    this.bucketAt(now).retries += retries;
  }

  /** Removes retries that were recorded at a time, if they still count. */
  removeRetries(recordedAtMs: Millis, retries: number): void {
    const startMs = this.startOf(recordedAtMs);
    const bucket = this.buckets.find((other) => other.startMs === startMs);
    if (bucket !== undefined) {
      bucket.retries -= retries;
    }
  }

  recordVms(now: Millis, vms: number): void {
    const current = this.bucketAt(now);
    current.vms = Math.max(current.vms, vms);
  }

  /**
   * Counts a borrowed retry that was sent now, after the end of its lender's count. Returns a
   * function that removes the count.
   */
  recordBorrowed(now: Millis, retries: number, receivedAtMs: Millis): () => void {
    const count = {
      retries,
      fromMs: this.lenderCountEndsAtMs(receivedAtMs),
      untilMs: now + this.countedMs,
    };
    this.deferred = [...this.deferred.filter(({ untilMs }) => untilMs > now), count];
    return () => {
      this.deferred = this.deferred.filter((other) => other !== count);
    };
  }

  /** End of the lender's count of a borrowed retry, one bucket early, since it began before its arrival. */
  lenderCountEndsAtMs(receivedAtMs: Millis): Millis {
    return receivedAtMs + this.readWindowMs() - this.bucketMs;
  }

  /** Share (0 to 1) of the window that ends at a time in which all attempts of this VM are recorded. */
  knownShareAt(atMs: Millis): number {
    const share = (atMs - this.knownSinceMs) / this.readWindowMs();
    return Math.min(1, Math.max(0, share));
  }

  /** First attempts whose bucket lies wholly within the window that ends at a time. */
  countFirstAttempts(atMs: Millis): number {
    const sinceMs = atMs - this.readWindowMs();
    let total = 0;
    for (const { startMs, firstAttempts } of this.buckets) {
      total += startMs > sinceMs ? firstAttempts : 0;
    }
    return total;
  }

  /** Retries that count at a time, if no more are recorded until then. */
  countRetries(atMs: Millis): number {
    const sinceMs = this.countedSinceMs(atMs);
    let total = 0;
    for (const { startMs, retries } of this.buckets) {
      total += startMs > sinceMs ? retries : 0;
    }
    for (const { fromMs, untilMs, retries } of this.deferred) {
      total += fromMs <= atMs && atMs < untilMs ? retries : 0;
    }
    return total;
  }

  /** Largest number of VMs known within the window that ends at a time; at least 1. */
  countVms(atMs: Millis): number {
    const sinceMs = this.countedSinceMs(atMs);
    let largest = Math.max(1, this.buckets.at(-1)?.vms ?? 1);
    for (const { startMs, vms } of this.buckets) {
      largest = startMs > sinceMs ? Math.max(largest, vms) : largest;
    }
    return largest;
  }

  /** Times after now at which counts change, up to the end of the window. */
  listBoundaries(now: Millis): Millis[] {
    const startMs = this.startOf(now);
    return Array.from({ length: BUCKETS + 1 }, (_, step) => startMs + (step + 1) * this.bucketMs);
  }

  /** Retries count for one bucket longer than the window. */
  private get countedMs(): Millis {
    return this.readWindowMs() + this.bucketMs;
  }

  /** Buckets that start after this have a part within the window that ends at a time. */
  private countedSinceMs(atMs: Millis): Millis {
    return this.startOf(atMs) - this.countedMs;
  }

  private startOf(atMs: Millis): Millis {
    return Math.floor(atMs / this.bucketMs) * this.bucketMs;
  }

  private bucketAt(now: Millis): Bucket {
    const startMs = this.startOf(now);
    const last = this.buckets.at(-1);
    if (last !== undefined && last.startMs >= startMs) {
      return last;
    }
    const bucket = { startMs, firstAttempts: 0, retries: 0, vms: 0 };
    this.buckets.push(bucket);
    while ((this.buckets[0]?.startMs ?? startMs) <= startMs - this.countedMs) {
      this.buckets.shift();
    }
    return bucket;
  }
}
