/**
 * Ends runs that leave targets which are up. Whatever takes a run from its target asks here, and the
 * request goes on elsewhere only once the run has ended or its target is lost.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { TargetConnections } from '@limelead/target-connections';
import { isSuspected, type TargetDirectory } from '@limelead/track-service-targets';
import {
  delay,
  type Clock,
  type Millis,
  type ServedService,
  type ServiceTarget,
  type Timers,
} from '@limelead/types';
import assessRunEnd, {
  type CallFailure,
  type RunEnd,
  type RunEndEvidence,
  type RunReport,
} from './assess-run-end.js';
import type { StopAnswer, StopDialect, TargetDialect } from './dialect.js';
import { callTarget, type TargetCallResult } from './query-target.js';

/** Timeout of a stop: the target answers once it has offered the memory of the run. */
const STOP_TIMEOUT_MS: Millis = 1_000;
/** Timeout of a report, which a target answers at once. */
const REPORT_TIMEOUT_MS: Millis = 250;
/** A timeout that is noticed this much late says nothing: the process was stalled. */
const MAX_TIMER_DELAY_MS: Millis = 40;
const ASK_INTERVAL_MS: Millis = 60;
/** Most targets end a run by themselves within this time of the close of its connection. */
const SELF_END_MS: Millis = 100;
/** Time for which a run of a cancelled attempt is followed; a silent target may come back. */
const CANCELLED_RUN_MS: Millis = 3_000;

/** A run that leaves its target. */
export interface LeavingRun {
  requestId: string;
  target: ServiceTarget;
  /** Whether the connection of the run is closed. */
  isDisconnected: boolean;
  /** Steady time of the first piece; undefined while the run reads its prompt. */
  writingSinceMs?: Millis;
  /** Target that holds a replica of the run. */
  replicaTarget?: ServiceTarget;
}

export interface RunStopperOptions {
  clock: Clock;
  timers: Timers;
  directory: Pick<TargetDirectory, 'listUsable'>;
  connections: Pick<TargetConnections, 'send'>;
  dialect: StopDialect & Pick<TargetDialect, 'composeProbe' | 'readProbe'>;
  log: Pick<DecisionLog, 'write'>;
  metrics: Metrics;
  findService(name: string): ServedService | undefined;
}

/** Stops runs and finds out whether they have ended. */
export default class RunStopper {
  /** Stops of cancelled attempts that are under way, by target and request. */
  private readonly cancelled = new Map<string, { abort: AbortController; end: Promise<void> }>();

  constructor(private readonly options: RunStopperOptions) {}

  /** Asks the target once. */
  async stop(run: LeavingRun): Promise<RunEnd> {
    const startedAtMs = this.options.clock.now();
    const evidence = await this.ask(run, startedAtMs);
    return this.report(run, evidence, startedAtMs);
  }

  /** Asks until the run has ended, its target is lost, or that time is reached. */
  async awaitEnd(run: LeavingRun, untilMs: Millis): Promise<RunEnd> {
    const { clock, findService, timers } = this.options;
    const isAskable = findService(run.target.service)?.engine !== undefined;
    if (!isAskable || run.target.isHelper === true) {
      return 'lost';
    }
    const startedAtMs = clock.now();
    let evidence = await this.ask(run, startedAtMs);
    let unlistedSinceMs = startedAtMs;
    while (assessRunEnd(evidence) === 'running' && clock.now() < untilMs) {
      await delay(timers, ASK_INTERVAL_MS);
      if (typeof evidence.report === 'object' && evidence.report.listsRun) {
        unlistedSinceMs = clock.now();
      }
      evidence = await this.ask(run, unlistedSinceMs);
    }
    return this.report(run, evidence, startedAtMs);
  }

  /** Stops the run of an attempt that was cancelled, unless its target ends it by itself. */
  stopCancelled(run: LeavingRun): void {
    if (run.target.isHelper === true || !this.canStop(run)) {
      return;
    }
    const key = keyOf(run.requestId, run.target.id);
    this.cancelled.get(key)?.abort.abort();
    const abort = new AbortController();
    const stop = { abort, end: this.stopLater(run, abort.signal) };
    this.cancelled.set(key, stop);
    void stop.end.then(() => {
      if (this.cancelled.get(key) === stop) {
        this.cancelled.delete(key);
      }
    });
  }

  /** A request starts again at a target, whose stop must not end the new run. */
  onRunStarted(requestId: string, targetId: string): void {
    this.cancelled.get(keyOf(requestId, targetId))?.abort.abort();
  }

  /** Resolves once no cancelled attempt is to be stopped, or at the timeout. */
  async settle(timeoutMs: Millis): Promise<void> {
    const ends = [...this.cancelled.values()].map(({ end }) => end);
    await Promise.race([Promise.all(ends), delay(this.options.timers, timeoutMs)]);
  }

  private async stopLater(run: LeavingRun, signal: AbortSignal): Promise<void> {
    const { clock, timers } = this.options;
    const startedAtMs = clock.now();
    await delay(timers, SELF_END_MS);
    if (!signal.aborted) {
      const stop = await this.sendStop(run, CANCELLED_RUN_MS, signal);
      this.report(run, { stop, isDisconnected: true, unlistedForMs: 0 }, startedAtMs);
    }
  }

  /** Asks for a stop and a report at once; the first answer that decides is enough. */
  private async ask(run: LeavingRun, unlistedSinceMs: Millis): Promise<RunEndEvidence> {
    const { clock } = this.options;
    const now = clock.now();
    const known = {
      isDisconnected: run.isDisconnected,
      writingForMs: run.writingSinceMs === undefined ? undefined : now - run.writingSinceMs,
      unlistedForMs: now - unlistedSinceMs,
    };
    const stop = this.canStop(run) ? this.sendStop(run, STOP_TIMEOUT_MS) : undefined;
    const report = this.readReport(run);
    const first: RunEndEvidence = await Promise.race([
      report.then((answer) => ({ ...known, report: answer })),
      ...(stop === undefined ? [] : [stop.then((answer) => ({ ...known, stop: answer }))]),
    ]);
    return assessRunEnd(first) === 'running'
      ? { ...known, stop: await stop, report: await report }
      : first;
  }

  private async sendStop(
    run: LeavingRun,
    timeoutMs: Millis,
    signal?: AbortSignal,
  ): Promise<StopAnswer['outcome'] | CallFailure> {
    const { connections, dialect, timers } = this.options;
    const { target, requestId: runId } = run;
    const receiver = this.findReceiver(run);
    if (receiver === undefined) {
      return 'unanswered';
    }
    const call = dialect.composeStop(target, { runId, receiver });
    const result = await callTarget({ connections, timers, timeoutMs, signal }, target, call);
    if (result.kind !== 'answered' || result.head === undefined) {
      return toFailure(result);
    }
    const { outcome, heldMemory } = dialect.readStopAnswer(result.head, result.body);
    if (heldMemory !== undefined) {
      const release = dialect.composeMemoryRelease(target, heldMemory);
      void callTarget({ connections, timers, timeoutMs }, target, release);
    }
    return outcome;
  }

  private async readReport(run: LeavingRun): Promise<RunReport | CallFailure> {
    const { clock, connections, dialect, timers } = this.options;
    const { target, requestId } = run;
    const options = { connections, timers, timeoutMs: REPORT_TIMEOUT_MS };
    const dueAtMs = clock.now() + REPORT_TIMEOUT_MS;
    const result = await callTarget(options, target, dialect.composeProbe(target));
    if (result.kind === 'timed-out' && clock.now() >= dueAtMs + MAX_TIMER_DELAY_MS) {
      return this.readReport(run);
    }
    if (result.kind !== 'answered') {
      return toFailure(result);
    }
    const report = dialect.readProbe(result.body);
    return { listsRun: report?.runs.has(requestId) ?? false, waiting: report?.waiting ?? Infinity };
  }

  private canStop(run: LeavingRun): boolean {
    const engine = this.options.findService(run.target.service)?.engine;
    return engine?.stopsRuns === true && this.findReceiver(run) !== undefined;
  }

  /** The target that gets the memory of the run. */
  private findReceiver({ target, replicaTarget }: LeavingRun): ServiceTarget | undefined {
    const { clock, directory } = this.options;
    const others = directory
      .listUsable(target.service)
      .filter((one) => one.target.id !== target.id);
    const now = clock.now();
    const healthy = others.find(({ health }) => !isSuspected(health, now));
    return replicaTarget ?? (healthy ?? others[0])?.target;
  }

  private report(run: LeavingRun, evidence: RunEndEvidence, startedAtMs: Millis): RunEnd {
    const { clock, log, metrics } = this.options;
    const outcome = assessRunEnd(evidence);
    metrics.count('limelead_runs_left_total', 1, { outcome });
    log.write('run-left', {
      requestId: run.requestId,
      target: run.target.id,
      isDisconnected: run.isDisconnected,
      ...describe(evidence),
      afterMs: Math.round(clock.now() - startedAtMs),
      outcome,
    });
    return outcome;
  }
}

function keyOf(requestId: string, targetId: string): string {
  return `${targetId} ${requestId}`;
}

function describe({ stop, report, writingForMs }: RunEndEvidence) {
  return {
    stop,
    report: typeof report === 'object' ? (report.listsRun ? 'listed' : 'not-listed') : report,
    writingForMs: writingForMs === undefined ? undefined : Math.round(writingForMs),
  };
}

function toFailure(result: TargetCallResult): CallFailure {
  if (result.kind === 'failed') {
    return result.fault.sent === 'no' ? 'unreachable' : 'broken';
  }
  return 'unanswered';
}
