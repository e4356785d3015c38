/** Times that are only relevant for a while, such as that of the last probe of a target. */
import type { Millis } from './time.js';

/** Keeps the last recorded time of each key until it expires. */
export default class RecentTimes<Key = string> {
  /** Oldest first. */
  private readonly recordedAtMs = new Map<Key, Millis>();

  /** @param ttlMs age at which a time expires, in milliseconds */
  constructor(private readonly ttlMs: Millis) {}

  /** Number of keys. */
  get size(): number {
    return this.recordedAtMs.size;
  }

  record(key: Key, now: Millis): void {
    this.recordedAtMs.delete(key);
    this.recordedAtMs.set(key, now);
    this.forgetExpired(now);
  }

  /** Milliseconds since the key was recorded; undefined if it never was or has expired. */
  ageMs(key: Key, now: Millis): Millis | undefined {
    const recordedAtMs = this.recordedAtMs.get(key);
    const ageMs = recordedAtMs === undefined ? undefined : now - recordedAtMs;
    return ageMs !== undefined && ageMs < this.ttlMs ? ageMs : undefined;
  }

  private forgetExpired(now: Millis): void {
    for (const [key, recordedAtMs] of this.recordedAtMs) {
      if (now - recordedAtMs < this.ttlMs) {
        return;
      }
      this.recordedAtMs.delete(key);
    }
  }
}
