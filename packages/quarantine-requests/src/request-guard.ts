/**
 * Protects the targets of one VM from requests that crash them: collects crashes from the runs of
 * this VM and from peers, and decides before each attempt whether a request may be sent.
 */
import { createRateLimitedLog, type DecisionLog } from '@limelead/decision-log';
import { describeThrown } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { Clock, Millis, Random, Timers } from '@limelead/types';
import CrashTable, {
  type Quarantine,
  type CrashRecord,
  type RequestStatus,
} from './crash-table.js';
import GuardedRequest, { type GuardedRequestDetails } from './guarded-request.js';
import type { RequestIdentity } from './identify-request.js';
import {
  createQuarantineUpdate,
  type QuarantineUpdate,
  type TrialNotice,
} from './quarantine-update.js';
import TrialQueue from './trial-queue.js';

/** Maximum number of crashes in the snapshot for a newly linked VM. */
const MAX_SNAPSHOT_CRASHES = 500;

/** Dependencies of `RequestGuard`. */
export interface RequestGuardOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  countVms(): number;
  /**
   * Whether an incarnation on which a run broke at that time has ended; probes it if that is
   * unknown.
   */
  hasCrashed(target: string, brokeAtMs: Millis): Promise<boolean>;
  /** Whether this VM received anything from an incarnation since that time. */
  hasRespondedSince(target: string, sinceMs: Millis): boolean;
  /** Sends an update to all peers except the one that it came from. */
  publish(update: QuarantineUpdate, from?: string): void;
  /** Stores a quarantine that this VM decided; resolves after the first attempt to write it. */
  storeQuarantine(request: RequestIdentity, quarantine: Quarantine): Promise<void>;
  /** A target of this VM ran a quarantined request without a crash. */
  onQuarantineRefuted(request: RequestIdentity): void;
}

/** Finds and quarantines requests that crash targets. */
export default class RequestGuard {
  private readonly crashTable: CrashTable;
  private readonly trials: TrialQueue;
  private readonly openRequests = new Set<GuardedRequest>();

  constructor(private readonly options: RequestGuardOptions) {
    const { clock, timers, random, log, metrics, countVms } = options;
    const logDropped = createRateLimitedLog(log, clock, 'evidence-dropped');
    this.crashTable = new CrashTable((identity) => {
      metrics.count('limelead_evidence_dropped_total');
      logDropped({ identity });
    });
    this.trials = new TrialQueue({
      ...{ clock, timers, random, countVms },
      getStatus: (request) => this.getStatus(request),
      publish: (notice) => this.publishTrial(notice),
    });
  }

  /** Number of requests that are quarantined now. */
  get quarantinedCount(): number {
    return this.crashTable.countQuarantined(this.now);
  }

  /** Number of requests that wait for another trial to end. */
  get waitingCount(): number {
    return this.trials.waitingCount;
  }

  /** Starts the tracking of a request of this VM; the caller closes it after its final answer. */
  guardRequest(details: GuardedRequestDetails): GuardedRequest {
    const guarded = new GuardedRequest(details, {
      hasEntriesFor: (service) => this.crashTable.hasEntriesFor(service),
      getStatus: (request) => this.getStatus(request),
      quarantineLeftMs: (request) => this.crashTable.quarantineLeftMs(request, this.now),
      requestAdmission: (request, receive) => this.trials.requestAdmission(request, receive),
      endTrial: (request) => this.trials.endTrial(request),
      checkBrokenRun: (crash, details) => this.tryCheckBrokenRun(crash, details),
      clearRequest: (request) => this.clearRequest(request),
      onClosed: () => this.openRequests.delete(guarded),
    });
    this.openRequests.add(guarded);
    return guarded;
  }

  /** Applies a peer's update and forwards the changes that were new here. */
  onPeerUpdate(update: QuarantineUpdate, from: string): void {
    const crashes = update.crashes.filter((crash) => this.recordCrash(crash, from));
    const withdrawn = update.withdrawn.filter(({ request, target }) =>
      this.withdrawCrash(request, target),
    );
    const cleared = update.cleared.filter(({ request, atMs }) =>
      this.applyClearance(request, atMs, from),
    );
    const trials = update.trials.filter((notice) => this.trials.onPeerNotice(notice));
    this.options.publish({ crashes, withdrawn, cleared, trials }, from);
  }

  /** The newest crashes, for a newly linked VM. */
  createSnapshot(): QuarantineUpdate {
    return createQuarantineUpdate({
      crashes: this.crashTable.listAllCrashes().slice(0, MAX_SNAPSHOT_CRASHES),
    });
  }

  /** Quarantines a request that the store lists as quarantined. */
  quarantine(request: RequestIdentity, quarantine: Quarantine): void {
    if (this.crashTable.quarantine(request, quarantine, this.now)) {
      this.recordQuarantine(request, quarantine.service, 'store');
    }
  }

  /** Ends the quarantine of a request that the store does not list any more. */
  release(request: RequestIdentity): void {
    this.crashTable.release(request, this.now);
    this.options.log.write('request-released', { identity: request });
    this.trials.reevaluate(request);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private getStatus(request: RequestIdentity): RequestStatus {
    return this.crashTable.getStatus(request, this.now);
  }

  private publishTrial(notice: TrialNotice): void {
    const { request } = notice;
    if (!notice.isOver) {
      this.options.log.write('request-tried-alone', {
        identity: request,
        targets: this.crashTable.listCrashedTargets(request),
      });
    }
    this.options.publish(createQuarantineUpdate({ trials: [notice] }));
  }

  private async tryCheckBrokenRun(
    crash: CrashRecord,
    details: GuardedRequestDetails,
  ): Promise<void> {
    try {
      await this.checkBrokenRun(crash, details);
    } catch (thrown) {
      this.options.log.write('strike-failed', { reason: describeThrown(thrown) });
    }
  }

  /**
   * Checks a run of this VM that broke before any output. From a request's second such run on, the
   * target is probed, since a broken link or a reset connection is no crash.
   */
  private async checkBrokenRun(crash: CrashRecord, details: GuardedRequestDetails): Promise<void> {
    const { request, target, endedAtMs } = crash;
    if (this.crashTable.hasEntry(request)) {
      this.withdrawRefutedCrashes(request);
      if (!(await this.options.hasCrashed(target, endedAtMs))) {
        const { requestId } = details;
        this.options.log.write('strike-refuted', { requestId, identity: request, target });
        return;
      }
    }
    const before = this.getStatus(request);
    if (!this.recordCrash(crash, 'own', details)) {
      return;
    }
    this.options.metrics.count('limelead_strikes_total', 1, { service: crash.service });
    this.options.publish(createQuarantineUpdate({ crashes: [crash] }));
    if (before !== 'quarantined' && this.getStatus(request) === 'quarantined') {
      const { service, caller } = crash;
      await this.options.storeQuarantine(request, { service, caller });
    }
  }

  /** Withdraws crashes whose targets responded later. */
  private withdrawRefutedCrashes(request: RequestIdentity): void {
    const refuted = this.crashTable
      .listCrashes(request)
      .filter(({ target, endedAtMs }) => this.options.hasRespondedSince(target, endedAtMs))
      .filter(({ target }) => this.withdrawCrash(request, target));
    if (refuted.length > 0) {
      this.options.publish(createQuarantineUpdate({ withdrawn: refuted }));
    }
  }

  private withdrawCrash(request: RequestIdentity, target: string): boolean {
    const isNew = this.crashTable.withdrawCrash(request, target, this.now);
    if (isNew) {
      this.options.log.write('strike-withdrawn', { identity: request, target });
      this.trials.reevaluate(request);
    }
    return isNew;
  }

  private recordCrash(
    crash: CrashRecord,
    source: string,
    details?: GuardedRequestDetails,
  ): boolean {
    const { request, service, target, startedAtMs, endedAtMs } = crash;
    const before = this.getStatus(request);
    if (!this.crashTable.recordCrash(crash, this.now)) {
      return false;
    }
    const verdict = this.getStatus(request);
    // A first crash is logged only at the VM that saw it, since most requests have no second one.
    if (source === 'own' || verdict !== 'clear') {
      this.options.log.write('strike', {
        requestId: details?.requestId,
        organisation: details?.request.organisation,
        path: details?.request.path,
        ...{ identity: request, service, target, source, verdict },
        runMs: Math.round(endedAtMs - startedAtMs),
        targets: this.crashTable.listCrashedTargets(request),
      });
    }
    if (verdict === 'quarantined' && before !== 'quarantined') {
      this.recordQuarantine(request, service, source);
    }
    return true;
  }

  private recordQuarantine(request: RequestIdentity, service: string, source: string): void {
    const targets = this.crashTable.listCrashedTargets(request);
    this.options.metrics.count('limelead_quarantines_total', 1, { service });
    this.options.log.write('request-quarantined', { identity: request, service, source, targets });
    this.trials.reevaluate(request);
    for (const guarded of [...this.openRequests]) {
      guarded.onQuarantined(request, service);
    }
  }

  private clearRequest(request: RequestIdentity): void {
    const atMs = this.now;
    const wasQuarantined = this.getStatus(request) === 'quarantined';
    if (this.crashTable.hasEntry(request) && this.applyClearance(request, atMs, 'own')) {
      this.options.publish(createQuarantineUpdate({ cleared: [{ request, atMs }] }));
    }
    if (wasQuarantined) {
      this.options.onQuarantineRefuted(request);
    }
  }

  private applyClearance(request: RequestIdentity, atMs: Millis, source: string): boolean {
    const targets = this.crashTable.listCrashedTargets(request);
    const before = this.getStatus(request);
    const isNew = this.crashTable.clearRequest(request, atMs, this.now);
    if (before !== 'clear' || (source === 'own' && targets.length > 0)) {
      this.options.log.write('request-absolved', { identity: request, source, targets });
      this.trials.reevaluate(request);
    }
    return isNew;
  }
}
