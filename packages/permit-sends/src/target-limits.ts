/** What targets name, as one VM heard it from their answers, with a line for each change. */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis, ToldLimit } from '@limelead/types';
import LimitBook, { type LimitFact } from './limit-book.js';

/** What is needed. */
export interface TargetLimitsOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
}

/** Hears answers. */
export default class TargetLimits {
  private readonly book = new LimitBook();
  private readonly noteUnreadable: LimitedLines;
  private readonly noteChange: LimitedLines;

  constructor(private readonly options: TargetLimitsOptions) {
    const { clock, log, metrics } = options;
    this.noteUnreadable = createLineLimit(log, clock, 'target-limit-unreadable');
    this.noteChange = createLineLimit(log, clock, 'target-limit-changed');
    metrics.gauge('limelead_limited_targets', () => this.book.limited);
  }

  /** An answer came to a request that was sent then. */
  hearAnswer(target: string, told: ToldLimit, askedAtMs: Millis): void {
    if (told.kind === 'unreadable') {
      this.noteUnreadable({ target, text: told.text });
    }
    const perSecond = told.kind === 'rate' ? told.perSecond : undefined;
    this.take({ target, perSecond, askedAtMs });
  }

  /** That incarnation is over. */
  forget(target: string): void {
    this.book.forget(target);
  }

  private take(fact: LimitFact): void {
    const outcome = this.book.take(fact);
    if (outcome.kind === 'changed') {
      const { clock, metrics } = this.options;
      metrics.count('limelead_limit_changes_total');
      this.noteChange({
        target: fact.target,
        from: outcome.from,
        to: fact.perSecond,
        askedAgoMs: Math.round(clock.now() - fact.askedAtMs),
      });
    }
  }
}
