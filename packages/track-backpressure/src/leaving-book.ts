/** Which targets said that they leave. */
import type { Millis } from '@limelead/types';

/** A target said in an answer that it takes no more work. */
export interface LeavingFact {
  /** Id of the incarnation, whose end alone lifts it. */
  target: string;
  /** When the answer came; steady time. */
  heardAtMs: Millis;
}

interface KnownFact extends LeavingFact {
  /** Since when this VM knows it. */
  knownSinceMs: Millis;
}

/** Holds the first word of each target. */
export default class LeavingBook {
  private readonly facts = new Map<string, KnownFact>();

  /** Since when this VM knows that a target leaves; undefined where it does not. */
  knownSinceMs(target: string): Millis | undefined {
    return this.facts.get(target)?.knownSinceMs;
  }

  list(): LeavingFact[] {
    return [...this.facts.values()].map(({ target, heardAtMs }) => ({ target, heardAtMs }));
  }

  /** False where it was known. */
  add(fact: LeavingFact, now: Millis): boolean {
    if (this.facts.has(fact.target)) {
      return false;
    }
    this.facts.set(fact.target, { ...fact, knownSinceMs: now });
    return true;
  }

  /** Forgets what was heard before that time of targets that are not listed. */
  prune(heardBeforeMs: Millis, isListed: (target: string) => boolean): void {
    for (const { target, heardAtMs } of [...this.facts.values()]) {
      if (heardAtMs < heardBeforeMs && !isListed(target)) {
        this.facts.delete(target);
      }
    }
  }
}
