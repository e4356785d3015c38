/**
 * A part of each high rate belongs to every VM without asking, so that a rate above what is sent
 * costs no messages. Where it would be less than a few requests a second, there is none: one
 * request of each VM would be more than the target takes.
 */
import type { Millis, Random } from '@limelead/types';
import RateBucket from './rate-bucket.js';

/** Part of a rate that is divided between the VMs; the rest is granted to those who ask. */
const DIVIDED_SHARE = 0.1;
/** Least part of one VM, in requests a second; all VMs may use theirs at the same moment. */
const LEAST_PER_SECOND = 2;

/** The parts of one VM. */
export default class OwnParts {
  private readonly buckets = new Map<string, RateBucket>();

  constructor(private readonly random: Random) {}

  /** Takes a target's rate; gives what is left of it for those who ask. */
  setRate(target: string, perSecond: number, vms: number, now: Millis): number {
    const ownPerSecond = (perSecond * DIVIDED_SHARE) / Math.max(1, vms);
    if (ownPerSecond < LEAST_PER_SECOND) {
      this.buckets.delete(target);
      return perSecond;
    }
    const known = this.buckets.get(target);
    if (known === undefined) {
      this.buckets.set(target, new RateBucket(ownPerSecond, now, this.random.next()));
    } else {
      known.change(ownPerSecond, now);
    }
    return perSecond * (1 - DIVIDED_SHARE);
  }

  /** The target names no limit any more. */
  forget(target: string): void {
    this.buckets.delete(target);
  }

  /** Whether a request may go there now. */
  has(target: string, now: Millis): boolean {
    return (this.buckets.get(target)?.readyAtMs ?? Infinity) <= now;
  }

  /** A request goes there; false where the part is used up. */
  take(target: string, now: Millis): boolean {
    const isThere = this.has(target, now);
    if (isThere) {
      this.buckets.get(target)?.take(now);
    }
    return isThere;
  }
}
