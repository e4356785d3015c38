/** Permits that one VM was granted and has not used yet. */
import type { Millis } from '@limelead/types';

/** Holds them by target. */
export default class PermitsAtHand {
  /** When each permit lapses. */
  private readonly held = new Map<string, Millis[]>();

  /** A permit came; it lapses then. */
  add(target: string, untilMs: Millis): void {
    this.held.set(target, [...(this.held.get(target) ?? []), untilMs]);
  }

  /** Whether there is one for that target. */
  has(target: string, now: Millis): boolean {
    return this.held.size > 0 && (this.held.get(target) ?? []).some((untilMs) => untilMs > now);
  }

  /** Takes one; false where there is none. */
  take(target: string, now: Millis): boolean {
    const left = (this.held.get(target) ?? []).filter((untilMs) => untilMs > now);
    const isThere = left.shift() !== undefined;
    if (left.length === 0) {
      this.held.delete(target);
    } else {
      this.held.set(target, left);
    }
    return isThere;
  }
}
