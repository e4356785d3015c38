/** Times of things that matter only for a while, such as the last question to a target. */
import type { Millis } from './time.js';

/** Remembers when each key was noted last, and forgets it once that is old. */
export default class RecentTimes<Key = string> {
  /** In the order of their times. */
  private readonly notedAtMs = new Map<Key, Millis>();

  /** @param keepMs age at which a time is forgotten, in milliseconds */
  constructor(private readonly keepMs: Millis) {}

  /** Number of keys that are held. */
  get size(): number {
    return this.notedAtMs.size;
  }

  note(key: Key, now: Millis): void {
    this.notedAtMs.delete(key);
    this.notedAtMs.set(key, now);
    this.forgetOld(now);
  }

  /** Milliseconds since the key was noted; undefined for never or too long ago. */
  ageMs(key: Key, now: Millis): Millis | undefined {
    const notedAtMs = this.notedAtMs.get(key);
    const ageMs = notedAtMs === undefined ? undefined : now - notedAtMs;
    return ageMs !== undefined && ageMs < this.keepMs ? ageMs : undefined;
  }

  private forgetOld(now: Millis): void {
    for (const [key, notedAtMs] of this.notedAtMs) {
      if (now - notedAtMs < this.keepMs) {
        return;
      }
      this.notedAtMs.delete(key);
    }
  }
}
