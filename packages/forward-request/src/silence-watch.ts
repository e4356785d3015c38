/** Watches all runs of this VM for silence, asks targets that may be down, and tells the runs. */
import type { DecisionLog } from '@limelead/decision-log';
import type { TargetConnections } from '@limelead/target-connections';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { CancelTimer, Clock, Millis, ServiceTarget, Timers } from '@limelead/types';
import type { ProbeFacts, TargetDialect } from './dialect.js';
import judgeSilence from './judge-silence.js';

const TICK_MS = 30;
/** Time for an answer to a question, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;
/** A run that was heard this lately is not given up because its target was found lost. */
const HEARD_LATELY_MS = 100;
/** Longest rest of a connection that a question may use. */
const PROBE_MAX_IDLE_MS = 2_000;
/** A run younger than this may be missing in an answer, which is a little old. */
const PROBE_LAG_MS = 700;
/** Answers in a row without the run after which it is given up. */
const MISSES_TO_GIVE_UP = 2;

/** One run under watch. */
export interface WatchedRun {
  requestId: string;
  target: ServiceTarget;
  /** When it was sent, or last sent something. */
  heardAtMs: Millis;
  startedAtMs: Millis;
  /** True where a piece may be expected any moment. */
  isSending: boolean;
  /** Answers in a row in which the target did not name the run. */
  missedInProbes: number;
  /** Silence that its gaps explain, in milliseconds. */
  boundMs(): number;
  /** The run is given up. */
  onSilent(): void;
}

/** What the watch needs. */
export interface SilenceWatchOptions {
  clock: Clock;
  timers: Timers;
  directory: TargetDirectory;
  connections: TargetConnections;
  dialect: TargetDialect;
  log: DecisionLog;
}

/** Watches runs while there are any. */
export default class SilenceWatch {
  private readonly runs = new Set<WatchedRun>();
  private readonly askedAtMs = new Map<string, Millis>();
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: SilenceWatchOptions) {}

  /** Begins to watch a run; the result ends it. */
  watch(run: WatchedRun): () => void {
    this.runs.add(run);
    this.schedule();
    return () => this.runs.delete(run);
  }

  /** A target was found lost: its other silent runs need not wait for their own bounds. */
  noteLost(targetId: string): void {
    const heardSince = this.options.clock.now() - HEARD_LATELY_MS;
    for (const run of [...this.runs]) {
      if (run.target.id === targetId && run.heardAtMs < heardSince) {
        this.giveUp(run);
      }
    }
  }

  private schedule(): void {
    if (this.cancelTimer !== undefined || this.runs.size === 0) {
      return;
    }
    this.cancelTimer = this.options.timers.after(TICK_MS, () => {
      this.cancelTimer = undefined;
      this.tick();
      this.schedule();
    });
  }

  private tick(): void {
    for (const run of [...this.runs]) {
      const judgement = this.runs.has(run) ? this.judge(run) : 'wait';
      if (judgement === 'ask') {
        this.ask(run.target);
      } else if (judgement === 'give-up') {
        this.options.directory.observe(run.target.id, { kind: 'lost' });
        this.giveUp(run);
        this.noteLost(run.target.id);
      }
    }
  }

  private judge(run: WatchedRun): 'wait' | 'ask' | 'give-up' {
    const { clock, directory } = this.options;
    const now = clock.now();
    const heardFromTarget = directory.get(run.target.id)?.evidence.heardAtMs ?? 0;
    const askedAtMs = this.askedAtMs.get(run.target.id);
    return judgeSilence({
      isSending: run.isSending,
      runSilentMs: now - run.heardAtMs,
      targetSilentMs: now - Math.max(run.heardAtMs, heardFromTarget),
      boundMs: run.boundMs(),
      isDomainDoubtful: directory.isDomainDoubtful(run.target.failureDomain),
      askedAgoMs: askedAtMs === undefined ? undefined : now - askedAtMs,
    });
  }

  private giveUp(run: WatchedRun): void {
    if (this.runs.delete(run)) {
      run.onSilent();
    }
  }

  private ask(target: ServiceTarget): void {
    const { clock, connections, dialect, timers } = this.options;
    const now = clock.now();
    this.askedAtMs.set(target.id, now);
    const body: Buffer[] = [];
    const open = connections.send(
      target,
      dialect.composeProbe(target),
      { maxIdleMs: PROBE_MAX_IDLE_MS },
      {
        onHead: () => undefined,
        onData: (chunk) => body.push(chunk),
        onEnd: () => {
          cancelTimer();
          this.onAnswer(target, dialect.readProbe(Buffer.concat(body)));
        },
        onFault: () => {
          cancelTimer();
          this.onNoAnswer(target);
        },
      },
    );
    const cancelTimer = timers.after(PROBE_TIMEOUT_MS, () => {
      open.cancel();
      this.onNoAnswer(target);
    });
  }

  /** The target is there; a run that it does not know any more is over. */
  private onAnswer(target: ServiceTarget, facts: ProbeFacts | undefined): void {
    const { clock, directory, log } = this.options;
    directory.observe(target.id, { kind: 'answered' });
    log.write('target-asked', { target: target.id, isThere: true, runs: facts?.runs.size });
    if (facts === undefined || facts.waiting > 0) {
      return;
    }
    const startedBefore = clock.now() - PROBE_LAG_MS;
    for (const run of [...this.runs]) {
      // Targets name a run only once it writes.
      if (run.isSending && run.target.id === target.id && run.startedAtMs < startedBefore) {
        run.missedInProbes = facts.runs.has(run.requestId) ? 0 : run.missedInProbes + 1;
        if (run.missedInProbes >= MISSES_TO_GIVE_UP) {
          this.giveUp(run);
        }
      }
    }
  }

  private onNoAnswer(target: ServiceTarget): void {
    const { directory, log } = this.options;
    directory.observe(target.id, { kind: 'lost' });
    log.write('target-asked', { target: target.id, isThere: false });
    this.loseAll(target.id);
  }

  private loseAll(targetId: string): void {
    for (const run of [...this.runs]) {
      if (run.target.id === targetId) {
        this.giveUp(run);
      }
    }
  }
}
