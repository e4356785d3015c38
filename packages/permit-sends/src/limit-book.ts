/**
 * The rate limit of each target. Answers and updates of peers may arrive out of order: of two
 * updates of a target the one whose request was sent later is the newer.
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
  /** Id of the update, the same at every VM. */
  mark: string;
}

/** What became of a fact. */
export type LimitOutcome =
  | { kind: 'changed'; from: number | undefined }
  /** The same as was known, or what nobody has to know. */
  | { kind: 'known' }
  /** A later update of the target says something else. */
  | { kind: 'outdated'; newest: LimitFact };

/** Holds the newest update of each target that ever advertised a limit. */
export default class LimitBook {
  private readonly facts = new Map<string, LimitFact>();
  /** Those that name a limit now, with the requests a second. */
  private readonly rates = new Map<string, number>();

  /** Requests a second that a target takes; undefined where it names no limit. */
  read(target: string): number | undefined {
    return this.rates.get(target);
  }

  /** All updates, those that lifted a limit included. */
  list(): LimitFact[] {
    return [...this.facts.values()];
  }

  /** Targets that name a limit now, with the requests a second. */
  get limited(): ReadonlyMap<string, number> {
    return this.rates;
  }

  /** Takes an update. */
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
    this.hold(fact);
    return fact.perSecond === known?.perSecond
      ? { kind: 'known' }
      : { kind: 'changed', from: known?.perSecond };
  }

  /** That incarnation is over. */
  forget(target: string): void {
    this.facts.delete(target);
    this.rates.delete(target);
  }

  private hold(fact: LimitFact): void {
    this.facts.set(fact.target, fact);
    if (fact.perSecond === undefined) {
      this.rates.delete(fact.target);
    } else {
      this.rates.set(fact.target, fact.perSecond);
    }
  }
}
