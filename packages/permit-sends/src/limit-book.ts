/**
 * Which rate each target names now. Answers overtake each other, and so does what VMs tell:
 * of two words of a target that one counts whose request was sent later.
 */
import type { Millis } from '@limelead/types';

/** What a target said of its limit in one answer. */
export interface LimitFact {
  /** Id of the incarnation. */
  target: string;
  /** Requests a second from all VMs together; undefined where the answer named no limit. */
  perSecond: number | undefined;
  /** When the request was sent whose answer said it; steady time. */
  askedAtMs: Millis;
}

/** What became of a fact. */
export type LimitOutcome =
  | { kind: 'changed'; from: number | undefined }
  /** The same as was known, or what nobody has to know. */
  | { kind: 'known' }
  /** A later word of the target says something else. */
  | { kind: 'outdated'; newest: LimitFact };

/** Holds the newest word of each target that ever named a limit. */
export default class LimitBook {
  private readonly facts = new Map<string, LimitFact>();

  /** Requests a second that a target takes; undefined where it names no limit. */
  read(target: string): number | undefined {
    return this.facts.get(target)?.perSecond;
  }

  /** All words that are held, those that lifted a limit included. */
  list(): LimitFact[] {
    return [...this.facts.values()];
  }

  /** Targets that name a limit now. */
  get limited(): number {
    return this.list().filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** Takes a word of a target. */
  take(fact: LimitFact): LimitOutcome {
    const known = this.facts.get(fact.target);
    if (known === undefined && fact.perSecond === undefined) {
      return { kind: 'known' };
    }
    if (known !== undefined && fact.askedAtMs < known.askedAtMs) {
      return fact.perSecond === known.perSecond
        ? { kind: 'known' }
        : { kind: 'outdated', newest: known };
    }
    this.facts.set(fact.target, fact);
    return fact.perSecond === known?.perSecond
      ? { kind: 'known' }
      : { kind: 'changed', from: known?.perSecond };
  }

  /** That incarnation is over. */
  forget(target: string): void {
    this.facts.delete(target);
  }
}
