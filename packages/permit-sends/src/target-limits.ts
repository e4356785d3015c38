/**
 * What targets name, as one VM heard it from their answers and from other VMs. A change is told to
 * the others, each of which passes it on once; a VM that tells an outdated word is corrected.
 */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis, ToldLimit } from '@limelead/types';
import LimitBook, { type LimitFact } from './limit-book.js';

/** What is needed. */
export interface TargetLimitsOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  /** Tells other VMs, the one that told it aside. */
  tell(facts: LimitFact[], from?: string): void;
  /** Tells one VM. */
  correct(vm: string, facts: LimitFact[]): void;
  /** A target takes another rate than before. */
  onChange(target: string): void;
}

/** Hears answers and other VMs. */
export default class TargetLimits {
  private readonly book = new LimitBook();
  private readonly noteUnreadable: LimitedLines;
  private readonly noteChange: LimitedLines;

  constructor(private readonly options: TargetLimitsOptions) {
    const { clock, log, metrics } = options;
    this.noteUnreadable = createLineLimit(log, clock, 'target-limit-unreadable');
    this.noteChange = createLineLimit(log, clock, 'target-limit-changed');
    metrics.gauge('limelead_limited_targets', () => this.book.limited.size);
  }

  /** Requests a second that a target takes from all VMs together; undefined without a limit. */
  read(target: string): number | undefined {
    return this.book.read(target);
  }

  /** Targets that name a limit now, with the requests a second. */
  get limited(): ReadonlyMap<string, number> {
    return this.book.limited;
  }

  /** All that is known, for a VM that has just met this one. */
  list(): LimitFact[] {
    return this.book.list();
  }

  /** An answer came to a request that was sent then. */
  hearAnswer(target: string, told: ToldLimit, askedAtMs: Millis): void {
    if (told.kind === 'unreadable') {
      this.noteUnreadable({ target, text: told.text });
    }
    const perSecond = told.kind === 'rate' ? told.perSecond : undefined;
    this.take({ target, perSecond, askedAtMs });
  }

  /** Another VM told what it knows. */
  hearVm(vm: string, facts: LimitFact[]): void {
    facts.forEach((fact) => this.take(fact, vm));
  }

  /** That incarnation is over. */
  forget(target: string): void {
    this.book.forget(target);
  }

  private take(fact: LimitFact, vm?: string): void {
    const outcome = this.book.take(fact);
    if (outcome.kind === 'changed') {
      this.onChanged(fact, outcome.from, vm);
    } else if (outcome.kind === 'outdated' && vm !== undefined) {
      this.options.correct(vm, [outcome.newest]);
    }
  }

  private onChanged(fact: LimitFact, from: number | undefined, vm: string | undefined): void {
    const { clock, metrics, tell, onChange } = this.options;
    metrics.count('limelead_limit_changes_total');
    this.noteChange({
      target: fact.target,
      from,
      to: fact.perSecond,
      source: vm ?? 'answer',
      askedAgoMs: Math.round(clock.now() - fact.askedAtMs),
    });
    onChange(fact.target);
    tell([fact], vm);
  }
}
