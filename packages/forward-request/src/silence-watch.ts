/** Watches all runs of this VM for silence, asks targets that may be down, and tells the runs. */
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
import askTarget from './ask-target.js';
import type { ProbeFacts, TargetDialect } from './dialect.js';
import judgeSilence from './judge-silence.js';

/** Pause between two looks at the runs, in milliseconds; about the pause between two pieces. */
const TICK_MS = 30;
/**
 * A look that comes this late, in milliseconds, finds a process that stood still:
 * pieces that came meanwhile wait to be read, and silence says nothing.
 */
const STOOD_STILL_MS = 40;
/** A question older than this has no say any more. */
const ASKED_LATELY_MS = 5_000;
/** Time for an answer to a question, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;
/** A run that was heard this lately is not given up because its target was found lost. */
const HEARD_LATELY_MS = 100;
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
  private readonly asked = new RecentTimes(ASKED_LATELY_MS);
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
    const dueAtMs = this.options.clock.now() + TICK_MS;
    this.cancelTimer = this.options.timers.after(TICK_MS, () => {
      this.cancelTimer = undefined;
      if (this.options.clock.now() < dueAtMs + STOOD_STILL_MS) {
        this.tick();
      }
      this.schedule();
    });
  }

  private tick(): void {
    for (const run of [...this.runs]) {
      const judgement = this.runs.has(run) ? this.judge(run) : 'wait';
      if (judgement === 'ask') {
        void this.ask(run.target);
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
    const heardFromTarget = directory.get(run.target.id)?.health.lastResponseAtMs ?? 0;
    return judgeSilence({
      isSending: run.isSending,
      runSilentMs: now - run.heardAtMs,
      targetSilentMs: now - Math.max(run.heardAtMs, heardFromTarget),
      boundMs: run.boundMs(),
      isDomainDoubtful: directory.isDomainSuspected(run.target.service, run.target.failureDomain),
      askedAgoMs: this.asked.ageMs(run.target.id, now),
    });
  }

  private giveUp(run: WatchedRun): void {
    if (this.runs.delete(run)) {
      run.onSilent();
    }
  }

  private async ask(target: ServiceTarget): Promise<void> {
    const { clock, connections, dialect, timers } = this.options;
    this.asked.record(target.id, clock.now());
    const options = { connections, timers, timeoutMs: PROBE_TIMEOUT_MS };
    const body = await askTarget(options, target, dialect.composeProbe(target));
    if (body === undefined) {
      this.onNoAnswer(target);
    } else {
      this.onAnswer(target, dialect.readProbe(body));
    }
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
