/** Targets that announced that they leave. */
import type { Millis } from '@limelead/types';

/** Announcement of a target that it accepts no new work. */
export interface LeavingFact {
  /** Id of the incarnation; the announcement holds until it ends. */
  target: string;
  /** Steady time at which the answer arrived. */
  heardAtMs: Millis;
}

interface KnownFact extends LeavingFact {
  /** Steady time at which this VM learned of it. */
  knownSinceMs: Millis;
}

/** Keeps the first announcement of each target. */
export default class LeavingBook {
  private readonly facts = new Map<string, KnownFact>();

  /** Steady time at which this VM learned of the announcement; undefined without one. */
  knownSinceMs(target: string): Millis | undefined {
    return this.facts.get(target)?.knownSinceMs;
  }

  list(): LeavingFact[] {
    return [...this.facts.values()].map(({ target, heardAtMs }) => ({ target, heardAtMs }));
  }

  /** Adds an announcement; false if the target already has one. */
  add(fact: LeavingFact, now: Millis): boolean {
    if (this.facts.has(fact.target)) {
      return false;
    }
    this.facts.set(fact.target, { ...fact, knownSinceMs: now });
    return true;
  }

  /** Removes announcements older than the given time of targets that are not listed. */
  prune(heardBeforeMs: Millis, isListed: (target: string) => boolean): void {
    for (const { target, heardAtMs } of [...this.facts.values()]) {
      if (heardAtMs < heardBeforeMs && !isListed(target)) {
        this.facts.delete(target);
      }
    }
  }
}
