/** Targets that announced that they are leaving. */
import type { Millis } from '@limelead/types';

/** A target's announcement that it accepts no new requests. */
export interface LeavingUpdate {
  /** Id of the incarnation; the announcement is valid until the incarnation ends. */
  target: string;
  /** Steady time at which a VM received the announcement from the target. */
  receivedAtMs: Millis;
}

interface StoredUpdate extends LeavingUpdate {
  /** Steady time at which this VM learned of the announcement. */
  knownSinceMs: Millis;
}

/** Keeps the first announcement of each target. */
export default class LeavingTable {
  private readonly updates = new Map<string, StoredUpdate>();

  /** Steady time at which this VM learned of the announcement; undefined without one. */
  knownSinceMs(target: string): Millis | undefined {
    return this.updates.get(target)?.knownSinceMs;
  }

  list(): LeavingUpdate[] {
    return [...this.updates.values()].map(({ target, receivedAtMs }) => ({
      target,
      receivedAtMs,
    }));
  }

  /** Adds an announcement; returns false if the target already has one. */
  add(update: LeavingUpdate, now: Millis): boolean {
    if (this.updates.has(update.target)) {
      return false;
    }
    this.updates.set(update.target, { ...update, knownSinceMs: now });
    return true;
  }

  /** Removes older announcements of targets that are not listed. */
  prune(receivedBeforeMs: Millis, isListed: (target: string) => boolean): void {
    for (const { target, receivedAtMs } of [...this.updates.values()]) {
      if (receivedAtMs < receivedBeforeMs && !isListed(target)) {
        this.updates.delete(target);
      }
    }
  }
}
