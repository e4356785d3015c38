/**
 * Gives every VM a small share of each high rate without permits, so that a limit above the
 * actual load costs no messages. Low rates are not divided: one request of each VM at the same
 * moment would exceed them.
 */
import type { Millis, Random } from '@limelead/types';
import RateBucket from './rate-bucket.js';

/** Share of a rate that is divided evenly between the VMs; the rest is granted on request. */
const LOCAL_SHARE = 0.1;
/** Smallest allowance of one VM, in requests a second. */
const MIN_LOCAL_PER_SECOND = 2;

/** Local allowances of one VM, by target. */
export default class LocalAllowance {
  private readonly buckets = new Map<string, RateBucket>();

  constructor(private readonly random: Random) {}

  /** Sets a target's rate; returns the rest of it that is granted on request. */
  setRate(target: string, perSecond: number, vms: number, now: Millis): number {
    const ownPerSecond = (perSecond * LOCAL_SHARE) / Math.max(1, vms);
    if (ownPerSecond < MIN_LOCAL_PER_SECOND) {
      this.buckets.delete(target);
      return perSecond;
    }
    const known = this.buckets.get(target);
    if (known === undefined) {
      this.buckets.set(target, new RateBucket(ownPerSecond, now, this.random.next()));
    } else {
      known.setRate(ownPerSecond, now);
    }
    return perSecond * (1 - LOCAL_SHARE);
  }

  /** Removes a target that has no limit any more. */
  forget(target: string): void {
    this.buckets.delete(target);
  }

  /** Whether the allowance covers a send to the target now. */
  canSend(target: string, now: Millis): boolean {
    return (this.buckets.get(target)?.readyAtMs ?? Infinity) <= now;
  }

  /** Uses the allowance for a send; returns false if it is used up. */
  consume(target: string, now: Millis): boolean {
    const isCovered = this.canSend(target, now);
    if (isCovered) {
      this.buckets.get(target)?.consume(now);
    }
    return isCovered;
  }
}
