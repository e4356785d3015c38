/**
 * Protects the targets of one VM from requests that crash them: collects crashes from the runs of
 * this VM and from peers, and decides before each attempt whether a request may be sent.
 */
import type { Metrics } from '@limelead/metrics';
import { RecentTimes, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import CrashEvidence, { type CrashEvidenceOptions } from './crash-evidence.js';
import type { CrashRecord, Quarantine } from './crash-record.js';
import GuardedRequest, { type GuardedRequestDetails } from './guarded-request.js';
import type GuardedRun from './guarded-run.js';
import type { RunTarget } from './guarded-run.js';
import type { RequestIdentity } from './identify-request.js';
import {
  createQuarantineUpdate,
  type QuarantineUpdate,
  type TrialNotice,
} from './quarantine-update.js';
import RunLedger, { type RunAtTarget, type UnsettledRun } from './run-ledger.js';
import TrialQueue from './trial-queue.js';

/** Maximum number of crashes in the snapshot for a newly linked VM. */
const MAX_SNAPSHOT_CRASHES = 500;

/** Delay until the target of an abandoned run, or one in doubt, is checked, in milliseconds. */
const CHECK_DELAY_MS: Millis = 100;
/** Shortest interval at which a target in doubt is checked, in milliseconds. */
const DOUBT_INTERVAL_MS: Millis = 1_000;
/** Interval at which the target of a trial is checked, in milliseconds. */
const TRIAL_CHECK_INTERVAL_MS: Millis = 250;
/**
 * How long the trial of an abandoned run lasts if its target goes on, in milliseconds: the run may
 * end the target after its caller has left.
 */
const ABANDONED_TRIAL_MS: Millis = 3_000;

/** Dependencies of `RequestGuard`. */
export interface RequestGuardOptions extends Omit<
  CrashEvidenceOptions,
  'onQuarantined' | 'onSuspected' | 'onStatusChanged' | 'publish'
> {
  clock: Clock;
  timers: Timers;
  random: Random;
  metrics: Pick<Metrics, 'count'>;
  countVms(): number;
  /** Whether an incarnation ended without a notice that it leaves; probes it if needed. */
  hasEnded(target: string, sinceMs: Millis): Promise<boolean>;
  /** Sends an update to all peers except the one that it came from. */
  publish(update: QuarantineUpdate, from?: string): void;
}

/** Finds and quarantines requests that crash targets. */
export default class RequestGuard {
  private readonly evidence: CrashEvidence;
  private readonly trials: TrialQueue;
  private readonly openRequests = new Set<GuardedRequest>();
  private readonly runs = new RunLedger();
  /** Targets in doubt that were checked lately. */
  private readonly doubtedTargets = new RecentTimes(DOUBT_INTERVAL_MS);

  constructor(private readonly options: RequestGuardOptions) {
    const { clock, timers, random, countVms } = options;
    this.evidence = new CrashEvidence({
      ...options,
      publish: (update) => options.publish(update),
      onStatusChanged: (request) => this.trials.reevaluate(request),
      onQuarantined: (request) => this.endOpenRequests(request),
      onSuspected: (request) => this.checkTargetsOf(request),
    });
    this.trials = new TrialQueue({
      ...{ clock, timers, random, countVms },
      getStatus: (request) => this.evidence.getStatus(request),
      publish: (notice) => this.publishTrial(notice),
    });
  }

  /** Number of requests that are quarantined now. */
  get quarantinedCount(): number {
    return this.evidence.crashTable.countQuarantined(this.now);
  }

  /** Number of requests that wait for another trial to end. */
  get waitingCount(): number {
    return this.trials.waitingCount;
  }

  /** Starts the tracking of a request of this VM; the caller closes it after its final answer. */
  guardRequest(details: GuardedRequestDetails): GuardedRequest {
    const { crashTable } = this.evidence;
    const guarded = new GuardedRequest(details, {
      readNow: () => this.now,
      hasEntries: () => crashTable.hasEntries,
      hasEntry: (request) => crashTable.hasEntry(request),
      getStatus: (request) => this.evidence.getStatus(request),
      quarantineLeftMs: (request) => crashTable.quarantineLeftMs(request, this.now),
      requestAdmission: (request, receive) => this.trials.requestAdmission(request, receive),
      endTrial: (request) => this.trials.endTrial(request),
      onRunStarted: (run, isOnTrial) => this.onRunStarted(run, isOnTrial),
      onRunEnded: (run) => this.runs.removeOpen(run),
      onRunAbandoned: (run, isOnTrial) => this.onRunAbandoned(run, isOnTrial),
      checkBrokenRun: (run) => this.checkBrokenRun(run),
      longestCrashMs: (request) => crashTable.longestCrashMs(request),
      onAnswered: (sample, target) => this.evidence.answers.record(sample, target, this.now),
      clearRequest: (request, ground) => this.evidence.clearRequest(request, ground),
      onClosed: () => this.openRequests.delete(guarded),
    });
    this.openRequests.add(guarded);
    return guarded;
  }

  /** A target ended that had not announced that it leaves; counts its end against the runs there. */
  onTargetEnded({ id, service }: Pick<RunTarget, 'id' | 'service'>): void {
    const { now } = this;
    this.evidence.endRates.recordEnd(service, id, now);
    const runs = this.runs.takeRunsAt(id, now);
    for (const run of runs) {
      const crash = toCrash(run, now);
      void this.evidence.attempt(() => this.evidence.recordOwnCrash(crash, run.request));
    }
    this.runs.listOpenAt(id).forEach((run) => run.owner.onTargetEnded(run));
  }

  /** Checks a target that this VM or a peer found lost, if runs there may have ended it. */
  onTargetDoubted(target: Pick<RunTarget, 'id' | 'service'>): void {
    const isChecked = this.doubtedTargets.ageMs(target.id, this.now) !== undefined;
    if (!isChecked && this.runs.hasRunsAt(target.id)) {
      this.doubtedTargets.record(target.id, this.now);
      this.checkLater(target);
    }
  }

  /** Applies a peer's update and forwards the changes that were new here. */
  onPeerUpdate(update: QuarantineUpdate, from: string): void {
    const { evidence, trials } = this;
    this.options.publish(
      {
        crashes: update.crashes.filter((crash) => evidence.recordPeerCrash(crash, from)),
        withdrawn: update.withdrawn.filter(({ request, target }) =>
          evidence.withdrawCrash(request, target),
        ),
        cleared: update.cleared.filter((cleared) => evidence.applyPeerClearance(cleared, from)),
        trials: update.trials.filter((notice) => trials.onPeerNotice(notice)),
      },
      from,
    );
  }

  /** The newest crashes, for a newly linked VM. */
  createSnapshot(): QuarantineUpdate {
    return createQuarantineUpdate({
      crashes: this.evidence.crashTable.listAllCrashes().slice(0, MAX_SNAPSHOT_CRASHES),
    });
  }

  /** Quarantines a request that the store lists as quarantined. */
  quarantine(request: RequestIdentity, quarantine: Quarantine): void {
    this.evidence.quarantine(request, quarantine);
  }

  /** Ends the quarantine of a request that the store does not list any more. */
  release(request: RequestIdentity): void {
    this.evidence.release(request);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  /** Watches the target of a trial, since its connections may stay open when it ends. */
  private onRunStarted(run: GuardedRun, isOnTrial: boolean): void {
    this.runs.addOpen(run);
    if (isOnTrial) {
      this.watchTrial(run);
    }
  }

  private watchTrial(run: GuardedRun): void {
    this.options.timers.after(TRIAL_CHECK_INTERVAL_MS, () => {
      if (run.endedAtMs === undefined) {
        void this.check(run.target).then((hasEnded) => hasEnded || this.watchTrial(run));
      }
    });
  }

  /** Checks where else a suspected request is under way. */
  private checkTargetsOf(request: RequestIdentity): void {
    this.runs.listTargetsOf(request).forEach((target) => void this.check(target));
  }

  private async checkBrokenRun(run: UnsettledRun): Promise<void> {
    const crash = toCrash(run, run.endedAtMs);
    if (!(await this.evidence.checkBrokenRun(crash, run.request))) {
      this.runs.addUnsettled(run);
    }
  }

  private onRunAbandoned(run: UnsettledRun, isOnTrial: boolean): void {
    const { target, request } = run;
    this.runs.addUnsettled(run);
    if (isOnTrial) {
      const endTrial = (): void => this.trials.endTrial(request.identity);
      const cancel = this.options.timers.after(ABANDONED_TRIAL_MS, endTrial);
      this.checkLater(target, () => {
        cancel();
        endTrial();
      });
    } else if (this.evidence.crashTable.hasEntry(request.identity)) {
      this.checkLater(target);
    }
  }

  private checkLater(target: Pick<RunTarget, 'id' | 'service'>, onEnded?: () => void): void {
    this.options.timers.after(CHECK_DELAY_MS, () => {
      if (this.runs.hasRunsAt(target.id)) {
        void this.check(target).then((hasEnded) => hasEnded && onEnded?.());
      }
    });
  }

  /** Finds whether a target has ended; if so, counts its end against the runs there. */
  private async check(target: Pick<RunTarget, 'id' | 'service'>): Promise<boolean> {
    const { evidence, options, now } = this;
    const hasEnded = await evidence.attempt(() => options.hasEnded(target.id, now));
    if (hasEnded === true) {
      this.onTargetEnded(target);
    }
    return hasEnded === true;
  }

  private publishTrial(notice: TrialNotice): void {
    const { request } = notice;
    if (!notice.isOver) {
      this.options.log.write('request-tried-alone', {
        identity: request,
        targets: this.evidence.crashTable.listCrashedTargets(request),
      });
    }
    this.options.publish(createQuarantineUpdate({ trials: [notice] }));
  }

  private endOpenRequests(request: RequestIdentity): void {
    for (const guarded of [...this.openRequests]) {
      guarded.onQuarantined(request);
    }
  }
}

/** The crash of a run at a target that ended at that time. */
function toCrash(run: RunAtTarget, endedAtMs: Millis): CrashRecord {
  const { id: target, service, version } = run.target;
  const { identity: request, caller } = run.request;
  const { startedAtMs } = run;
  // A broken connection tells the time of the end better than what confirmed it later.
  const crashedAtMs = run.end === 'broken' ? (run.endedAtMs ?? endedAtMs) : endedAtMs;
  const mayBeCoincidence = run.hasOutput || run.end === 'abandoned';
  const times = { startedAtMs, endedAtMs: crashedAtMs };
  const crash = { request, service, version, caller, target, ...times };
  return mayBeCoincidence ? { ...crash, mayBeCoincidence } : crash;
}
