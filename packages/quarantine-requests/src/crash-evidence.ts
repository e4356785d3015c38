/**
 * Collects the crashes of one VM and of its peers, logs what counts and what does not, and tells
 * peers and the store.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis } from '@limelead/types';
import type { CrashRecord, Quarantine } from './crash-record.js';
import CrashTable from './crash-table.js';
import type { RequestStatus } from './judge-crashes.js';
import EndRates from './end-rates.js';
import type { ClearanceGround } from './guarded-request.js';
import type { RequestIdentity } from './identify-request.js';
import {
  createQuarantineUpdate,
  type ClearedRequest,
  type QuarantineUpdate,
} from './quarantine-update.js';
import RecentAnswers from './recent-answers.js';
import type { RequestSummary } from './request-summary.js';

/** What is known of an incarnation; unknown if this VM may have lost its own links. */
export type TargetState = 'running' | 'ended' | 'unknown';

/** Dependencies of `CrashEvidence`. */
export interface CrashEvidenceOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  /** Finds whether an incarnation on which a run broke at that time has ended; may probe it. */
  checkTarget(target: string, brokeAtMs: Millis): Promise<TargetState>;
  /** Whether this VM received anything from an incarnation since that time. */
  hasRespondedSince(target: string, sinceMs: Millis): boolean;
  /** Sends an update to all peers. */
  publish(update: QuarantineUpdate): void;
  /** Stores a quarantine that this VM decided; resolves after the first attempt to write it. */
  storeQuarantine(request: RequestIdentity, quarantine: Quarantine): Promise<void>;
  /** A target of this VM ran a quarantined request without a crash. */
  onQuarantineRefuted(request: RequestIdentity): void;
  /** Number of targets of a service. */
  countTargets(service: string): number;
  onQuarantined(request: RequestIdentity): void;
  /** A crash made a request suspected. */
  onSuspected(request: RequestIdentity): void;
  /** The status of a request may have changed otherwise. */
  onStatusChanged(request: RequestIdentity): void;
}

/** The evidence known to one VM. */
export default class CrashEvidence {
  readonly crashTable: CrashTable;
  readonly endRates: EndRates;
  readonly answers = new RecentAnswers();
  private readonly logNotCounted: RateLimitedLog;

  constructor(private readonly options: CrashEvidenceOptions) {
    const { clock, log, metrics } = options;
    const logDropped = createRateLimitedLog(log, clock, 'evidence-dropped');
    this.logNotCounted = createRateLimitedLog(log, clock, 'run-not-counted');
    this.endRates = new EndRates((service) => options.countTargets(service));
    const chanceOf = ({ service, startedAtMs, endedAtMs }: CrashRecord): number =>
      this.endRates.chanceOfEnd(service, endedAtMs - startedAtMs, this.now);
    this.crashTable = new CrashTable(chanceOf, (identity) => {
      metrics.count('limelead_evidence_dropped_total');
      logDropped({ identity });
    });
  }

  getStatus(request: RequestIdentity): RequestStatus {
    return this.crashTable.getStatus(request, this.now);
  }

  /**
   * Checks a run of this VM that broke. From a request's second such run on, the target is probed,
   * since a broken link or a reset connection is no crash.
   * @returns false if it is still unknown whether the target ended
   */
  async checkBrokenRun(crash: CrashRecord, request: RequestSummary): Promise<boolean> {
    return (await this.attempt(() => this.checkTarget(crash, request))) ?? true;
  }

  /** Returns the result of a step, or undefined if it throws, which is logged. */
  async attempt<Result>(step: () => Promise<Result>): Promise<Result | undefined> {
    try {
      return await step();
    } catch (thrown) {
      this.options.log.write('strike-failed', { reason: describeThrown(thrown) });
      return undefined;
    }
  }

  /**
   * Records a crash whose target is known to have ended. Resolves when a quarantine that follows
   * is stored.
   */
  async recordOwnCrash(crash: CrashRecord, summary: RequestSummary): Promise<void> {
    const { request } = crash;
    const before = this.getStatus(request);
    this.recallAnswer(crash, summary);
    const objection = this.crashTable.findObjection(crash, this.now);
    if (objection !== undefined) {
      const { target, startedAtMs, endedAtMs } = crash;
      const { requestId, path } = summary;
      const runMs = Math.round(endedAtMs - startedAtMs);
      this.logNotCounted({ requestId, identity: request, path, target, runMs, reason: objection });
      return;
    }
    if (!this.recordCrash(crash, 'own', summary)) {
      return;
    }
    this.options.metrics.count('limelead_strikes_total', 1, { service: crash.service });
    this.options.publish(createQuarantineUpdate({ crashes: [crash] }));
    if (before !== 'quarantined' && this.getStatus(request) === 'quarantined') {
      const { service, caller } = crash;
      await this.options.storeQuarantine(request, { service, caller });
    }
  }

  /** Records a crash that a peer reported; returns false if it has no effect. */
  recordPeerCrash(crash: CrashRecord, peer: string): boolean {
    return this.recordCrash(crash, peer);
  }

  withdrawCrash(request: RequestIdentity, target: string): boolean {
    const isNew = this.crashTable.withdrawCrash(request, target, this.now);
    if (isNew) {
      this.options.log.write('strike-withdrawn', { identity: request, target });
      this.options.onStatusChanged(request);
    }
    return isNew;
  }

  /** Clears a request that a target of this VM ran without a crash. */
  clearRequest(request: RequestIdentity, ground: ClearanceGround): void {
    const { service, version } = ground.run.target;
    const cleared = { request, scope: { service, version }, atMs: this.now };
    const wasQuarantined = this.getStatus(request) === 'quarantined';
    if (this.crashTable.hasEntry(request) && this.applyClearance(cleared, 'own', ground)) {
      this.options.publish(createQuarantineUpdate({ cleared: [cleared] }));
    }
    if (wasQuarantined && !this.crashTable.hasEntry(request)) {
      this.options.onQuarantineRefuted(request);
    }
  }

  /** Clears a request by decision of a peer; returns false if it has no effect. */
  applyPeerClearance(cleared: ClearedRequest, peer: string): boolean {
    return this.applyClearance(cleared, peer);
  }

  /** Quarantines a request that the store lists as quarantined. */
  quarantine(request: RequestIdentity, quarantine: Quarantine): void {
    if (this.crashTable.quarantine(request, quarantine, this.now)) {
      this.reportQuarantine(request, quarantine.service, 'store');
    }
  }

  /** Ends the quarantine of a request that the store does not list any more. */
  release(request: RequestIdentity): void {
    this.crashTable.release(request, this.now);
    this.options.log.write('request-released', { identity: request });
    this.options.onStatusChanged(request);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private async checkTarget(crash: CrashRecord, summary: RequestSummary): Promise<boolean> {
    const { request, target, endedAtMs } = crash;
    if (this.crashTable.hasEntry(request)) {
      const [state] = await Promise.all([
        this.options.checkTarget(target, endedAtMs),
        this.withdrawRefutedCrashes(request),
      ]);
      if (state !== 'ended') {
        const { requestId } = summary;
        this.options.log.write('strike-refuted', { requestId, identity: request, target, state });
        return state === 'running';
      }
    }
    await this.recordOwnCrash(crash, summary);
    return true;
  }

  /** Tells all VMs if this one saw the same software answer the request before its first crash. */
  private recallAnswer(crash: CrashRecord, { sample }: RequestSummary): void {
    const atMs = this.answers.lastAnsweredAtMs(sample, crash, this.now);
    if (atMs !== undefined && !this.crashTable.wasCleared(crash)) {
      const { request, service, version } = crash;
      const cleared = { request, scope: { service, version }, atMs };
      this.applyClearance(cleared, 'own');
      this.options.publish(createQuarantineUpdate({ cleared: [cleared] }));
    }
  }

  /** Withdraws crashes whose targets responded later and still do. */
  private async withdrawRefutedCrashes(request: RequestIdentity): Promise<void> {
    const { now } = this;
    const responded = this.crashTable
      .listCrashes(request)
      .filter(({ target, endedAtMs }) => this.options.hasRespondedSince(target, endedAtMs));
    const states = await Promise.all(
      responded.map(({ target }) => this.options.checkTarget(target, now)),
    );
    const refuted = responded
      .filter((_, index) => states[index] === 'running')
      .filter(({ target }) => this.withdrawCrash(request, target));
    if (refuted.length > 0) {
      this.options.publish(createQuarantineUpdate({ withdrawn: refuted }));
    }
  }

  private recordCrash(crash: CrashRecord, source: string, summary?: RequestSummary): boolean {
    const { request, service, target, startedAtMs, endedAtMs } = crash;
    const before = this.getStatus(request);
    if (!this.crashTable.recordCrash(crash, this.now)) {
      return false;
    }
    const verdict = this.getStatus(request);
    // A first crash is logged only at the VM that saw it, since most requests have no second one.
    if (source === 'own' || verdict !== 'clear') {
      this.options.log.write('strike', {
        requestId: summary?.requestId,
        organisation: summary?.organisation,
        path: summary?.path,
        ...{ identity: request, service, target, source, verdict },
        runMs: Math.round(endedAtMs - startedAtMs),
        mayBeCoincidence: crash.mayBeCoincidence,
        targets: this.crashTable.listCrashedTargets(request),
      });
    }
    if (verdict === 'quarantined' && before !== 'quarantined') {
      this.reportQuarantine(request, service, source);
    } else if (verdict === 'suspected' && before === 'clear') {
      this.options.onSuspected(request);
    }
    return true;
  }

  private reportQuarantine(request: RequestIdentity, service: string, source: string): void {
    const targets = this.crashTable.listCrashedTargets(request);
    this.options.metrics.count('limelead_quarantines_total', 1, { service });
    this.options.log.write('request-quarantined', { identity: request, service, source, targets });
    this.options.onStatusChanged(request);
    this.options.onQuarantined(request);
  }

  private applyClearance(
    { request, scope, atMs }: ClearedRequest,
    source: string,
    ground?: ClearanceGround,
  ): boolean {
    const targets = this.crashTable.listCrashedTargets(request);
    const before = this.getStatus(request);
    const isNew = this.crashTable.clearRequest(request, scope, atMs, this.now);
    if (before !== 'clear' || (source === 'own' && targets.length > 0)) {
      const left = this.crashTable.listCrashedTargets(request);
      this.options.log.write('request-absolved', {
        ...{ identity: request, source, targets, left, evidence: ground?.evidence },
        ...{ by: ground?.run.target.id, service: scope?.service, version: scope?.version },
      });
      this.options.onStatusChanged(request);
    }
    return isNew;
  }
}
