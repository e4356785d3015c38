/** Permits that a VM was granted and has not used yet. */
import type { Millis } from '@limelead/types';

/** Unused permits by target. */
export default class HeldPermits {
  /** Expiry time of each permit. */
  private readonly expiryByTarget = new Map<string, Millis[]>();

  /** Adds a permit that expires at that time. */
  add(target: string, untilMs: Millis): void {
    this.expiryByTarget.set(target, [...(this.expiryByTarget.get(target) ?? []), untilMs]);
  }

  /** Whether there is a valid permit for a target. */
  has(target: string, now: Millis): boolean {
    return (
      this.expiryByTarget.size > 0 &&
      (this.expiryByTarget.get(target) ?? []).some((untilMs) => untilMs > now)
    );
  }

  /** Uses one permit; returns false if there is none. */
  consume(target: string, now: Millis): boolean {
    const left = (this.expiryByTarget.get(target) ?? []).filter((untilMs) => untilMs > now);
    const hasPermit = left.shift() !== undefined;
    if (left.length === 0) {
      this.expiryByTarget.delete(target);
    } else {
      this.expiryByTarget.set(target, left);
    }
    return hasPermit;
  }
}
