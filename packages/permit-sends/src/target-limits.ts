/**
 * Rate limits that targets advertise, from their answers and from peers. A change is gossiped to
 * the other VMs, each of which forwards it once; a peer with an outdated update is sent the newest.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import {
  RecentTimes,
  type Clock,
  type Millis,
  type Random,
  type AdvertisedLimit,
} from '@limelead/types';
import LimitBook, { type LimitFact } from './limit-book.js';

/** Longest time for an update to reach every VM. */
const NEWS_TRAVEL_MS: Millis = 60_000;

/** What is needed. */
export interface TargetLimitsOptions {
  clock: Clock;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  /** Tells other VMs, the one that told it aside. */
  publish(facts: LimitFact[], from?: string): void;
  /** Tells one VM. */
  sendCorrection(vm: string, facts: LimitFact[]): void;
  /** A target takes another rate than before. */
  onChange(target: string): void;
}

/** Hears answers and other VMs. */
export default class TargetLimits {
  private readonly book = new LimitBook();
  /**
   * Updates that were handled. Each hop makes an update seem younger by its time in transit: two of
   * the same moment would overtake each other from VM to VM without end.
   */
  private readonly seen = new RecentTimes(NEWS_TRAVEL_MS);
  private readonly ownMarks: string;
  private lastMark = 0;
  private readonly noteUnreadable: RateLimitedLog;
  private readonly noteChange: RateLimitedLog;

  constructor(private readonly options: TargetLimitsOptions) {
    const { clock, random, log, metrics } = options;
    this.ownMarks = String(random.next());
    this.noteUnreadable = createRateLimitedLog(log, clock, 'target-limit-unreadable');
    this.noteChange = createRateLimitedLog(log, clock, 'target-limit-changed');
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
  onResponse(target: string, told: AdvertisedLimit, askedAtMs: Millis): void {
    if (told.kind === 'unreadable') {
      this.noteUnreadable({ target, text: told.text });
    }
    const perSecond = told.kind === 'rate' ? told.perSecond : undefined;
    this.lastMark += 1;
    this.take({ target, perSecond, askedAtMs, mark: `${this.ownMarks}.${this.lastMark}` });
  }

  /** Another VM told what it knows. */
  onPeerUpdate(vm: string, facts: LimitFact[]): void {
    const now = this.options.clock.now();
    for (const fact of facts.filter(({ mark }) => this.seen.ageMs(mark, now) === undefined)) {
      this.take(fact, vm);
    }
  }

  /** That incarnation is over. */
  forget(target: string): void {
    this.book.forget(target);
  }

  private take(fact: LimitFact, vm?: string): void {
    const outcome = this.book.take(fact);
    if (outcome.kind !== 'known') {
      this.seen.note(fact.mark, this.options.clock.now());
    }
    if (outcome.kind === 'changed') {
      this.onChanged(fact, outcome.from, vm);
    } else if (outcome.kind === 'outdated' && vm !== undefined) {
      this.options.sendCorrection(vm, [outcome.newest]);
    }
  }

  private onChanged(fact: LimitFact, from: number | undefined, vm: string | undefined): void {
    const { clock, metrics, publish, onChange } = this.options;
    metrics.count('limelead_limit_changes_total');
    this.noteChange({
      target: fact.target,
      from,
      to: fact.perSecond,
      source: vm ?? 'answer',
      askedAgoMs: Math.round(clock.now() - fact.askedAtMs),
    });
    onChange(fact.target);
    publish([fact], vm);
  }
}
