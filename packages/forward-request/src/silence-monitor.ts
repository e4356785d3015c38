/** Monitors all runs of this VM for silence and probes targets that may be down. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { CancelTimer, Clock, Millis, Random, ServiceTarget, Timers } from '@limelead/types';
import { REPORT_LAG_MS } from './assess-run-end.js';
import type { TargetDialect } from './dialect.js';
import assessSilence, {
  findSilenceLimit,
  type RunSilence,
  type SilenceAssessment,
} from './assess-silence.js';
import type { GiveUpCause, MonitoredRun } from './monitored-run.js';
import SilenceReport, { type SilenceOutcome } from './silence-report.js';
import TargetProber, { type AnsweredProbe } from './target-prober.js';

/** Interval of the checks; about the time between two pieces. */
const CHECK_INTERVAL_MS = 30;
/** A check that is later than this is skipped: the process was stalled and has pieces to read. */
const MAX_TIMER_DELAY_MS = 40;
/** Timeout of a probe for runs that read their prompts, whose pauses harm no caller yet. */
const PREFILL_PROBE_TIMEOUT_MS = 250;
/** Longest timeout of a probe for a run that writes. */
const MAX_PROBE_TIMEOUT_MS = 120;
/** The same as a share of the pause that the route allows. */
const PROBE_TIMEOUT_SHARE_OF_PAUSE = 0.15;
/** VMs that suspect a target at the same moment wait up to this long, so that one of them probes. */
const MAX_PROBE_DELAY_MS = 20;
/** A run that was active this recently is kept when its target is reported lost. */
const RECENT_ACTIVITY_MS = 100;
/** Consecutive probe answers without a run after which it is given up. */
const MAX_MISSED_PROBES = 2;

export interface SilenceMonitorOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
  log: DecisionLog;
  metrics: Metrics;
  /** Called with a target that answered a probe and that also runs requests of other VMs. */
  onProbeAnswered?(targetId: string, sentAtMs: Millis): void;
}

/** Checks runs at an interval and gives up silent ones. */
export default class SilenceMonitor {
  private readonly runs = new Set<MonitoredRun>();
  private readonly prober: TargetProber;
  private readonly report: SilenceReport;
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: SilenceMonitorOptions) {
    this.report = new SilenceReport(options);
    this.prober = new TargetProber({
      ...options,
      isNeeded: (target) => this.isProbeNeeded(target),
      onAnswered: (target, answer) => this.onProbeAnswered(target, answer),
      onFailed: (target, sentAtMs) => this.onProbeFailed(target, sentAtMs),
    });
  }

  /** Starts to monitor a run. Returns a function that stops it. */
  monitor(run: MonitoredRun): () => void {
    this.runs.add(run);
    this.schedule();
    return () => this.runs.delete(run);
  }

  /** Gives up the silent runs of a lost target without waiting for their limits. */
  onTargetLost(targetId: string): void {
    const activeSince = this.options.clock.now() - RECENT_ACTIVITY_MS;
    for (const run of this.listRuns(targetId)) {
      if (run.lastActivityAtMs < activeSince) {
        this.giveUp(run, 'target-lost');
      }
    }
  }

  private schedule(): void {
    if (this.cancelTimer !== undefined || this.runs.size === 0) {
      return;
    }
    const dueAtMs = this.options.clock.now() + CHECK_INTERVAL_MS;
    this.cancelTimer = this.options.timers.after(CHECK_INTERVAL_MS, () => {
      this.cancelTimer = undefined;
      if (this.options.clock.now() < dueAtMs + MAX_TIMER_DELAY_MS) {
        this.checkRuns();
      }
      this.schedule();
    });
  }

  private checkRuns(): void {
    for (const run of [...this.runs]) {
      if (this.runs.has(run)) {
        this.apply(run, this.assess(run));
      }
    }
  }

  private apply(run: MonitoredRun, assessment: SilenceAssessment): void {
    const { directory } = this.options;
    switch (assessment) {
      case 'wait':
        break;
      case 'probe':
        this.probe(run);
        break;
      case 'give-up-run':
        directory.observe(run.target.id, { kind: 'failed' });
        this.giveUp(run, 'too-long');
        break;
      case 'give-up-target':
        directory.observe(run.target.id, { kind: 'lost' });
        this.giveUp(run, 'target-lost');
        this.onTargetLost(run.target.id);
        break;
    }
  }

  private assess(run: MonitoredRun): SilenceAssessment {
    return assessSilence(this.describe(run));
  }

  private describe(run: MonitoredRun): RunSilence {
    const { clock, directory } = this.options;
    const { id } = run.target;
    const now = clock.now();
    const targetLastResponseAtMs = directory.get(id)?.health.lastResponseAtMs ?? 0;
    return {
      isWriting: run.isWriting,
      runSilentMs: now - run.lastActivityAtMs,
      targetSilentMs: now - Math.max(run.lastActivityAtMs, targetLastResponseAtMs),
      maxSilenceMs: run.maxSilenceMs(),
      isSuspected: this.isSuspected(run.target),
      isProbing: this.prober.isProbing(id, this.probeTimeoutMs(run)),
      probedAgoMs: this.prober.sentAgoMs(id),
      peerAnswerAgoMs: directory.probeAnswers.peerAgeMs(id, now),
    };
  }

  private isSuspected({ id, service, failureDomain }: ServiceTarget): boolean {
    const { directory } = this.options;
    return directory.isSuspected(id) || directory.isDomainSuspected(service, failureDomain);
  }

  private giveUp(run: MonitoredRun, outcome: GiveUpCause): void {
    if (this.runs.has(run)) {
      this.reportRun(run, outcome);
      this.runs.delete(run);
      run.onSilent(outcome);
    }
  }

  private probe(run: MonitoredRun): void {
    const { target, isWriting } = run;
    const isShared = this.countPeerRequests(target.id) > 0 && !this.isSuspected(target);
    this.reportRun(run, 'suspected');
    this.prober.probe(target, {
      delayMs: isWriting && isShared ? this.options.random.next() * MAX_PROBE_DELAY_MS : 0,
      timeoutMs: this.probeTimeoutMs(run),
    });
  }

  private probeTimeoutMs({ isWriting, maxPauseMs }: MonitoredRun): Millis {
    return isWriting
      ? Math.min(MAX_PROBE_TIMEOUT_MS, maxPauseMs * PROBE_TIMEOUT_SHARE_OF_PAUSE)
      : PREFILL_PROBE_TIMEOUT_MS;
  }

  /** Whether a run still calls for the probe that was delayed for the answers of peers. */
  private isProbeNeeded(target: ServiceTarget): boolean {
    return this.listRuns(target.id).some((run) => this.assess(run) === 'probe');
  }

  /** The target is up. Gives up runs that it repeatedly does not list. */
  private onProbeAnswered(target: ServiceTarget, { sentAtMs, result }: AnsweredProbe): void {
    const { directory, log, onProbeAnswered } = this.options;
    directory.observe(target.id, { kind: 'answered' });
    log.write('target-asked', { target: target.id, isThere: true, runs: result?.runs.size });
    // State of a target that was removed during the probe would never be dropped.
    if (directory.get(target.id) !== undefined) {
      directory.probeAnswers.recordOwn(target.id, sentAtMs);
      if (result?.memory !== undefined) {
        directory.tokens.recordReport(target.id, target.service, result.memory, result.waiting);
      }
    }
    if (this.countPeerRequests(target.id) > 0) {
      onProbeAnswered?.(target.id, sentAtMs);
    }
    // Targets list a run only once it writes, and no run that was preempted and waits again.
    const lists = result === undefined || result.waiting > 0 ? undefined : result.runs;
    for (const run of this.listRuns(target.id)) {
      if (run.isWriting && run.lastActivityAtMs < sentAtMs) {
        this.onAnsweredFor(run, lists);
      }
    }
  }

  private onAnsweredFor(run: MonitoredRun, lists: ReadonlySet<string> | undefined): void {
    const { clock, directory } = this.options;
    if (lists !== undefined && run.startedAtMs < clock.now() - REPORT_LAG_MS) {
      run.missedProbes = lists.has(run.requestId) ? 0 : run.missedProbes + 1;
    }
    if (run.missedProbes >= MAX_MISSED_PROBES) {
      directory.observe(run.target.id, { kind: 'failed' });
      this.giveUp(run, 'not-listed');
    } else {
      this.reportRun(run, 'kept');
    }
  }

  private onProbeFailed(target: ServiceTarget, sentAtMs: Millis): void {
    const { directory, log } = this.options;
    const lastResponseAtMs = directory.get(target.id)?.health.lastResponseAtMs ?? 0;
    // Pieces that arrived meanwhile show that the target is up, whatever happened to the probe.
    const isUp = lastResponseAtMs > sentAtMs;
    log.write('target-asked', { target: target.id, isThere: isUp });
    if (!isUp) {
      directory.observe(target.id, { kind: 'lost' });
      this.listRuns(target.id).forEach((run) => this.giveUp(run, 'target-lost'));
    }
  }

  private reportRun(run: MonitoredRun, outcome: SilenceOutcome): void {
    const { clock, directory } = this.options;
    const { maxSilenceMs, runSilentMs, ...silence } = this.describe(run);
    this.report.judged({
      run: run.requestId,
      target: run.target.id,
      silentMs: runSilentMs,
      limitMs: run.isWriting ? findSilenceLimit({ ...silence, maxSilenceMs }) : maxSilenceMs,
      answerAgoMs: directory.probeAnswers.ownAgeMs(run.target.id, clock.now()),
      peerAnswerAgoMs: silence.peerAnswerAgoMs,
      probedAgoMs: silence.probedAgoMs,
      pace: directory.paceOf(run.target.id),
      outcome,
    });
  }

  private listRuns(targetId: string): MonitoredRun[] {
    return [...this.runs].filter(({ target }) => target.id === targetId);
  }

  private countPeerRequests(targetId: string): number {
    return this.options.directory.get(targetId)?.peerRequests ?? 0;
  }
}
