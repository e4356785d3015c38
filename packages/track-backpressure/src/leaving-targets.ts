/**
 * Targets that said in their answers that they leave. Every VM is told, since the store may go on
 * calling them ready.
 */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis } from '@limelead/types';
import LeavingBook, { type LeavingFact } from './leaving-book.js';

/** A target whose entry lapsed may be listed again within this time. */
const KEEP_UNLISTED_MS: Millis = 600_000;

/** What is needed. */
export interface LeavingTargetsOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  /** Whether the store lists that incarnation. */
  isListed(target: string): boolean;
  /** A target takes no more work from this VM. */
  onLeaving(target: string): void;
  /** Tells other VMs, the one that told it aside. */
  publish(facts: LeavingFact[], from?: string): void;
}

/** Takes answers and what other VMs tell. */
export default class LeavingTargets {
  private readonly book = new LeavingBook();
  private readonly noteAnnounced: LimitedLines;

  constructor(private readonly options: LeavingTargetsOptions) {
    const { clock, log } = options;
    this.noteAnnounced = createLineLimit(log, clock, 'target-leaving-announced');
  }

  /** Since when this VM knows that a target leaves; undefined where it does not. */
  knownSinceMs(target: string): Millis | undefined {
    return this.book.knownSinceMs(target);
  }

  /** All that is known, for a VM that has just met this one. */
  list(): LeavingFact[] {
    return this.book.list();
  }

  /** A target answered. */
  onResponse({ target, directives }: DirectiveResponse): void {
    if (directives.isLeaving) {
      this.take([{ target, heardAtMs: this.options.clock.now() }]);
    }
  }

  /** Another VM told what it knows. */
  onPeerUpdate(vm: string, facts: LeavingFact[]): void {
    this.take(facts, vm);
  }

  private take(facts: LeavingFact[], vm?: string): void {
    const { clock, isListed, onLeaving, publish } = this.options;
    const now = clock.now();
    const keptSinceMs = now - KEEP_UNLISTED_MS;
    this.book.prune(keptSinceMs, isListed);
    const news = facts
      .filter(({ target, heardAtMs }) => heardAtMs >= keptSinceMs || isListed(target))
      .filter((fact) => this.book.add(fact, now));
    if (news.length > 0) {
      news.forEach((fact) => this.report(fact, vm));
      news.forEach(({ target }) => onLeaving(target));
      publish(news, vm);
    }
  }

  private report({ target, heardAtMs }: LeavingFact, vm: string | undefined): void {
    const { clock, metrics } = this.options;
    const heardAgoMs = Math.round(clock.now() - heardAtMs);
    metrics.count('limelead_leaving_announcements_total');
    this.noteAnnounced({ target, source: vm ?? 'answer', heardAgoMs });
  }
}
