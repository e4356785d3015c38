/**
 * Guards the targets of one VM against requests that end them: takes evidence from the runs of
 * this VM and from other VMs, and says before each send whether it may go on.
 */
import { createRateLimitedLog, type DecisionLog } from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis, Random, Timers } from '@limelead/types';
import CaseBook, { type Quarantine, type Strike, type Verdict } from './case-book.js';
import GuardedRequest, { type GuardedFacts } from './guarded-request.js';
import type { RequestIdentity } from './identify-request.js';
import { composeNews, type GuardNews, type TrialNotice } from './news.js';
import Trials from './trials.js';

/** Strikes told at once to a VM that has just met this one; the newest cases. */
const MOST_TOLD_STRIKES = 500;

/** What a guard needs. */
export interface RequestGuardOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  countVms(): number;
  /** Whether an incarnation on which a run broke at that time is over; asks it where that is open. */
  hasEnded(target: string, brokeAtMs: Millis): Promise<boolean>;
  /** Whether this VM heard from an incarnation since that time. */
  wasHeardSince(target: string, sinceMs: Millis): boolean;
  /** Tells other VMs, the one that told it aside. */
  tell(news: GuardNews, from?: string): void;
  /** This VM proved a request to end its targets; resolves when that is kept, or can't be now. */
  onProved(request: RequestIdentity, quarantine: Quarantine): Promise<void>;
  /** A target of this VM's ran a request that was kept from targets. */
  onRefuted(request: RequestIdentity): void;
}

/** Knows which requests end targets. */
export default class RequestGuard {
  private readonly book: CaseBook;
  private readonly trials: Trials;
  private readonly underWay = new Set<GuardedRequest>();

  constructor(private readonly options: RequestGuardOptions) {
    const { clock, timers, random, log, metrics, countVms } = options;
    const noteDropped = createRateLimitedLog(log, clock, 'evidence-dropped');
    this.book = new CaseBook((identity) => {
      metrics.count('limelead_evidence_dropped_total');
      noteDropped({ identity });
    });
    this.trials = new Trials({
      ...{ clock, timers, random, countVms },
      judge: (request) => this.judge(request),
      tell: (notice) => this.tellTrial(notice),
    });
  }

  /** Requests that are kept from targets now. */
  get quarantined(): number {
    return this.book.countQuarantined(this.now);
  }

  /** Requests that wait until a suspect's trial is over. */
  get waiting(): number {
    return this.trials.waiting;
  }

  /** Begins to guard a request of this VM; to be closed when it has its final answer. */
  begin(facts: GuardedFacts): GuardedRequest {
    const guarded = new GuardedRequest(facts, {
      watches: (service) => this.book.watches(service),
      judge: (request) => this.judge(request),
      quarantineLeftMs: (request) => this.book.quarantineLeftMs(request, this.now),
      ask: (request, receive) => this.trials.ask(request, receive),
      endTrial: (request) => this.trials.end(request),
      noteBroken: (strike, facts) => this.lookInto(strike, facts),
      absolve: (request) => this.absolve(request),
      onClosed: () => this.underWay.delete(guarded),
    });
    this.underWay.add(guarded);
    return guarded;
  }

  /** Takes what another VM told, and passes on what is news here. */
  hear(news: GuardNews, from: string): void {
    const strikes = news.strikes.filter((strike) => this.enter(strike, from));
    const withdrawn = news.withdrawn.filter(({ request, target }) => this.drop(request, target));
    const absolved = news.absolved.filter(({ request, atMs }) => this.clear(request, atMs, from));
    const trials = news.trials.filter((notice) => this.trials.hear(notice));
    this.options.tell({ strikes, withdrawn, absolved, trials }, from);
  }

  /** What a VM is told that has just met this one. */
  listNews(): GuardNews {
    return composeNews({ strikes: this.book.listAll().slice(0, MOST_TOLD_STRIKES) });
  }

  /** The store holds that a request ends its targets. */
  quarantine(request: RequestIdentity, quarantine: Quarantine): void {
    if (this.book.quarantine(request, quarantine, this.now)) {
      this.onQuarantined(request, quarantine.service, 'store');
    }
  }

  /** The store holds it no longer. */
  release(request: RequestIdentity): void {
    this.book.release(request, this.now);
    this.options.log.write('request-released', { identity: request });
    this.trials.wake(request);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private judge(request: RequestIdentity): Verdict {
    return this.book.judge(request, this.now);
  }

  private tellTrial(notice: TrialNotice): void {
    const { request } = notice;
    if (!notice.isOver) {
      this.options.log.write('request-tried-alone', {
        identity: request,
        targets: this.book.listTargets(request),
      });
    }
    this.options.tell(composeNews({ trials: [notice] }));
  }

  private async lookInto(strike: Strike, facts: GuardedFacts): Promise<void> {
    try {
      await this.noteBroken(strike, facts);
    } catch (thrown) {
      this.options.log.write('strike-failed', { reason: describeThrown(thrown) });
    }
  }

  /**
   * A run of this VM broke before it had written anything. One break may be anything; from the
   * second on the target is asked, since a broken link or a target that resets is no end.
   */
  private async noteBroken(strike: Strike, facts: GuardedFacts): Promise<void> {
    const { request, target, endedAtMs } = strike;
    if (this.book.has(request)) {
      this.dropRefuted(request);
      if (!(await this.options.hasEnded(target, endedAtMs))) {
        const { requestId } = facts;
        this.options.log.write('strike-refuted', { requestId, identity: request, target });
        return;
      }
    }
    const before = this.judge(request);
    if (!this.enter(strike, 'own', facts)) {
      return;
    }
    this.options.metrics.count('limelead_strikes_total', 1, { service: strike.service });
    this.options.tell(composeNews({ strikes: [strike] }));
    if (before !== 'quarantined' && this.judge(request) === 'quarantined') {
      const { service, caller } = strike;
      await this.options.onProved(request, { service, caller });
    }
  }

  /** Strikes whose targets answered later are taken back. */
  private dropRefuted(request: RequestIdentity): void {
    const refuted = this.book
      .listStrikes(request)
      .filter(({ target, endedAtMs }) => this.options.wasHeardSince(target, endedAtMs))
      .filter(({ target }) => this.drop(request, target));
    if (refuted.length > 0) {
      this.options.tell(composeNews({ withdrawn: refuted }));
    }
  }

  private drop(request: RequestIdentity, target: string): boolean {
    const isNews = this.book.withdraw(request, target, this.now);
    if (isNews) {
      this.options.log.write('strike-withdrawn', { identity: request, target });
      this.trials.wake(request);
    }
    return isNews;
  }

  private enter(strike: Strike, source: string, facts?: GuardedFacts): boolean {
    const { request, service, target, startedAtMs, endedAtMs } = strike;
    const before = this.judge(request);
    if (!this.book.take(strike, this.now)) {
      return false;
    }
    const verdict = this.judge(request);
    // Of most requests there is one strike and no other: its line stands on the VM that saw it.
    if (source === 'own' || verdict !== 'clear') {
      this.options.log.write('strike', {
        requestId: facts?.requestId,
        organisation: facts?.request.organisation,
        path: facts?.request.path,
        ...{ identity: request, service, target, source, verdict },
        runMs: Math.round(endedAtMs - startedAtMs),
        targets: this.book.listTargets(request),
      });
    }
    if (verdict === 'quarantined' && before !== 'quarantined') {
      this.onQuarantined(request, service, source);
    }
    return true;
  }

  private onQuarantined(request: RequestIdentity, service: string, source: string): void {
    const targets = this.book.listTargets(request);
    this.options.metrics.count('limelead_quarantines_total', 1, { service });
    this.options.log.write('request-quarantined', { identity: request, service, source, targets });
    this.trials.wake(request);
    for (const guarded of [...this.underWay]) {
      guarded.noteQuarantined(request, service);
    }
  }

  private absolve(request: RequestIdentity): void {
    const atMs = this.now;
    const wasKept = this.judge(request) === 'quarantined';
    if (this.book.has(request) && this.clear(request, atMs, 'own')) {
      this.options.tell(composeNews({ absolved: [{ request, atMs }] }));
    }
    if (wasKept) {
      this.options.onRefuted(request);
    }
  }

  private clear(request: RequestIdentity, atMs: Millis, source: string): boolean {
    const targets = this.book.listTargets(request);
    const before = this.judge(request);
    const isNews = this.book.absolve(request, atMs, this.now);
    if (before !== 'clear' || (source === 'own' && targets.length > 0)) {
      this.options.log.write('request-absolved', { identity: request, source, targets });
      this.trials.wake(request);
    }
    return isNews;
  }
}
