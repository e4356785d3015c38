/** Monitors all runs of this VM for silence and probes targets that may be down. */
import type { DecisionLog } from '@limelead/decision-log';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import {
  RecentTimes,
  type CancelTimer,
  type Clock,
  type Millis,
  type ServiceTarget,
  type Timers,
} from '@limelead/types';
import queryTarget from './query-target.js';
import type { ProbeResult, TargetDialect } from './dialect.js';
import assessSilence from './assess-silence.js';

/** Interval of the checks; about the time between two pieces. */
const CHECK_INTERVAL_MS = 30;
/** A check that is later than this is skipped: the process was stalled and has pieces to read. */
const MAX_TIMER_DELAY_MS = 40;
/** Time for which probes are remembered. */
const PROBE_MEMORY_MS = 5_000;
const PROBE_TIMEOUT_MS = 250;
/** A run that was active this recently is kept when its target is reported lost. */
const RECENT_ACTIVITY_MS = 100;
/** Probe answers lag, so a run younger than this may be missing from them. */
const PROBE_LAG_MS = 700;
/** Consecutive probe answers without a run after which it is given up. */
const MAX_MISSED_PROBES = 2;

/** A run that is monitored for silence. */
export interface MonitoredRun {
  requestId: string;
  target: ServiceTarget;
  /** Time of the last piece, or of the start. */
  lastActivityAtMs: Millis;
  startedAtMs: Millis;
  /** False while the run reads its prompt. */
  isWriting: boolean;
  /** Consecutive probe answers that did not list the run. */
  missedProbes: number;
  /** Longest silence in milliseconds that is normal for the run. */
  maxSilenceMs(): number;
  /** Called when the run is given up. */
  onSilent(): void;
}

export interface SilenceMonitorOptions {
  clock: Clock;
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
  log: DecisionLog;
}

/** Checks runs at an interval and gives up silent ones. */
export default class SilenceMonitor {
  private readonly runs = new Set<MonitoredRun>();
  private readonly probes = new RecentTimes(PROBE_MEMORY_MS);
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: SilenceMonitorOptions) {}

  /** Starts to monitor a run. Returns a function that stops it. */
  monitor(run: MonitoredRun): () => void {
    this.runs.add(run);
    this.schedule();
    return () => this.runs.delete(run);
  }

  /** Gives up the silent runs of a lost target without waiting for their limits. */
  onTargetLost(targetId: string): void {
    const activeSince = this.options.clock.now() - RECENT_ACTIVITY_MS;
    for (const run of [...this.runs]) {
      if (run.target.id === targetId && run.lastActivityAtMs < activeSince) {
        this.giveUp(run);
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
      const assessment = this.runs.has(run) ? this.assess(run) : 'wait';
      if (assessment === 'probe') {
        void this.probe(run.target);
      } else if (assessment === 'give-up') {
        this.options.directory.observe(run.target.id, { kind: 'lost' });
        this.giveUp(run);
        this.onTargetLost(run.target.id);
      }
    }
  }

  private assess(run: MonitoredRun): 'wait' | 'probe' | 'give-up' {
    const { clock, directory } = this.options;
    const now = clock.now();
    const targetLastResponseAtMs = directory.get(run.target.id)?.health.lastResponseAtMs ?? 0;
    return assessSilence({
      isWriting: run.isWriting,
      runSilentMs: now - run.lastActivityAtMs,
      targetSilentMs: now - Math.max(run.lastActivityAtMs, targetLastResponseAtMs),
      maxSilenceMs: run.maxSilenceMs(),
      isDomainSuspected: directory.isDomainSuspected(run.target.service, run.target.failureDomain),
      probedAgoMs: this.probes.ageMs(run.target.id, now),
    });
  }

  private giveUp(run: MonitoredRun): void {
    if (this.runs.delete(run)) {
      run.onSilent();
    }
  }

  private async probe(target: ServiceTarget): Promise<void> {
    const { clock, connections, dialect, timers } = this.options;
    this.probes.record(target.id, clock.now());
    const options = { connections, timers, timeoutMs: PROBE_TIMEOUT_MS };
    const body = await queryTarget(options, target, dialect.composeProbe(target));
    if (body === undefined) {
      this.onProbeFailed(target);
    } else {
      this.onProbeAnswered(target, dialect.readProbe(body));
    }
  }

  /** The target is up. Gives up runs that it repeatedly does not list. */
  private onProbeAnswered(target: ServiceTarget, result: ProbeResult | undefined): void {
    const { clock, directory, log } = this.options;
    directory.observe(target.id, { kind: 'answered' });
    log.write('target-asked', { target: target.id, isThere: true, runs: result?.runs.size });
    if (result?.memory !== undefined) {
      directory.tokens.recordReport(target.id, target.service, result.memory, result.waiting);
    }
    if (result === undefined || result.waiting > 0) {
      return;
    }
    const startedBefore = clock.now() - PROBE_LAG_MS;
    for (const run of [...this.runs]) {
      // Targets list a run only once it writes.
      if (run.isWriting && run.target.id === target.id && run.startedAtMs < startedBefore) {
        run.missedProbes = result.runs.has(run.requestId) ? 0 : run.missedProbes + 1;
        if (run.missedProbes >= MAX_MISSED_PROBES) {
          this.giveUp(run);
        }
      }
    }
  }

  private onProbeFailed(target: ServiceTarget): void {
    const { directory, log } = this.options;
    directory.observe(target.id, { kind: 'lost' });
    log.write('target-asked', { target: target.id, isThere: false });
    this.giveUpAll(target.id);
  }

  private giveUpAll(targetId: string): void {
    for (const run of [...this.runs]) {
      if (run.target.id === targetId) {
        this.giveUp(run);
      }
    }
  }
}
