/**
 * Leaving announcements from answers and from peers. They are gossiped, since the registry may
 * list a leaving target as ready until it is gone.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis } from '@limelead/types';
import LeavingBook, { type LeavingFact } from './leaving-book.js';

/** A lapsed registry entry may come back within this time. */
const KEEP_UNLISTED_MS: Millis = 600_000;

/** Dependencies. */
export interface LeavingTargetsOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  /** Whether the registry lists the incarnation. */
  isListed(target: string): boolean;
  /** An announcement is new to this VM. */
  onLeaving(target: string): void;
  /** Publishes to all peers except the one that it came from. */
  publish(facts: LeavingFact[], from?: string): void;
}

/** Collects announcements. */
export default class LeavingTargets {
  private readonly book = new LeavingBook();
  private readonly noteAnnounced: RateLimitedLog;

  constructor(private readonly options: LeavingTargetsOptions) {
    const { clock, log } = options;
    this.noteAnnounced = createRateLimitedLog(log, clock, 'target-leaving-announced');
  }

  /** Steady time at which this VM learned of the announcement; undefined without one. */
  knownSinceMs(target: string): Millis | undefined {
    return this.book.knownSinceMs(target);
  }

  /** All announcements, for a newly linked peer. */
  list(): LeavingFact[] {
    return this.book.list();
  }

  /** An answer arrived. */
  onResponse({ target, directives }: DirectiveResponse): void {
    if (directives.isLeaving) {
      this.take([{ target, heardAtMs: this.options.clock.now() }]);
    }
  }

  /** A peer published announcements. */
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
