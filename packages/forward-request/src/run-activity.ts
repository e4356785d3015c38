/** Tracks when a run last sent a piece and how long it may be silent. */
import {
  computeSilenceTimeoutBesidePrefill,
  INITIAL_GAP_ESTIMATE,
  scaleGapEstimate,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { TargetDirectory } from '@limelead/track-service-targets';
import type { Clock, Millis, RecoveryPolicy, ServiceTarget } from '@limelead/types';
import type { GiveUpCause, MonitoredRun } from './monitored-run.js';

/** What a run leaves to the next run of its request. */
export interface CarriedActivity {
  /** Gaps at the usual pace. */
  gaps: GapEstimate;
  /** Time of the last piece that the caller got. */
  pausedSinceMs: Millis;
}

export interface RunActivityOptions {
  requestId: string;
  target: ServiceTarget;
  replicaTarget?: ServiceTarget;
  /** True if the run resumes from a replica, which skips nearly all of the prefill. */
  resumesFromReplica: boolean;
  policy: RecoveryPolicy;
  /** Longest time to the first piece of a run that reads its prompt, in milliseconds. */
  maxPrefillMs: number;
  /** Longest pause that the route allows. */
  maxPauseMs: Millis;
  /** Activity of the request's previous run; undefined for its first one. */
  carried?: CarriedActivity;
  clock: Clock;
  directory: Pick<TargetDirectory, 'pace' | 'paceOf'>;
  canMove(): boolean;
  /** Called with the time to the first piece of a run that resumed from a replica. */
  onResumed(tookMs: Millis): void;
  onSilent(cause: GiveUpCause): void;
}

/** Activity of one monitored run. */
export default class RunActivity implements MonitoredRun {
  readonly requestId: string;
  readonly target: ServiceTarget;
  readonly startedAtMs: Millis;
  readonly maxPauseMs: Millis;
  isWriting: boolean;
  missedProbes = 0;
  private gaps: GapEstimate;
  private hasSentPieces = false;
  private lastPieceAtMs: Millis;
  private pauseStartedAtMs: Millis;
  private isReadPaused = false;

  constructor(private readonly options: RunActivityOptions) {
    const { carried, clock, directory, target } = options;
    this.requestId = options.requestId;
    this.target = target;
    this.maxPauseMs = options.maxPauseMs;
    this.startedAtMs = clock.now();
    this.lastPieceAtMs = this.startedAtMs;
    this.pauseStartedAtMs = carried?.pausedSinceMs ?? this.startedAtMs;
    this.isWriting = options.resumesFromReplica;
    this.gaps = carried
      ? scaleGapEstimate(carried.gaps, directory.paceOf(target.id))
      : INITIAL_GAP_ESTIMATE;
  }

  /** The replica's target; engines replicate only runs that have sent a piece. */
  get replicaTarget(): ServiceTarget | undefined {
    return this.hasSentPieces ? this.options.replicaTarget : undefined;
  }

  /** Time of the last piece, or now while this VM itself pauses reading. */
  get lastActivityAtMs(): Millis {
    return this.isReadPaused ? this.options.clock.now() : this.lastPieceAtMs;
  }

  /** Start of the present pause of the answer, or now while this VM itself pauses reading. */
  get pausedSinceMs(): Millis {
    return this.isReadPaused ? this.options.clock.now() : this.pauseStartedAtMs;
  }

  /** While reading is paused, the run counts as active; afterwards its silence starts anew. */
  setReadPaused(isPaused: boolean): void {
    if (this.isReadPaused && !isPaused) {
      this.lastPieceAtMs = this.options.clock.now();
      this.pauseStartedAtMs = this.lastPieceAtMs;
    }
    this.isReadPaused = isPaused;
  }

  recordActivity(): void {
    const now = this.options.clock.now();
    if (this.hasSentPieces) {
      this.gaps = updateGapEstimate(this.gaps, now - this.lastPieceAtMs);
    } else if (this.options.resumesFromReplica) {
      this.options.onResumed(now - this.startedAtMs);
    }
    this.hasSentPieces = true;
    this.isWriting = true;
    this.missedProbes = 0;
    this.lastPieceAtMs = now;
    this.pauseStartedAtMs = now;
  }

  maxSilenceMs(): number {
    const { resumesFromReplica, maxPrefillMs, policy } = this.options;
    if (this.hasSentPieces) {
      return computeSilenceTimeoutBesidePrefill(this.gaps, this.prefillGapMs, policy);
    }
    return resumesFromReplica ? policy.maxSilenceMs : maxPrefillMs;
  }

  expectedGapMs(): Millis {
    return Math.max(this.gaps.meanMs, this.prefillGapMs);
  }

  canMove(): boolean {
    return this.options.canMove();
  }

  onSilent(cause: GiveUpCause): void {
    this.options.onSilent(cause);
  }

  /** What the next run of the request starts with. */
  carry(): CarriedActivity {
    const { carried, directory, target } = this.options;
    const { pausedSinceMs } = this;
    if (!this.hasSentPieces) {
      // Its gaps are those that it began with; the pace of its target may have changed since.
      return { gaps: carried?.gaps ?? INITIAL_GAP_ESTIMATE, pausedSinceMs };
    }
    return { gaps: scaleGapEstimate(this.gaps, 1 / directory.paceOf(target.id)), pausedSinceMs };
  }

  /** Longest usual gap while a prompt is prefilled at the target; 0 while none is. */
  private get prefillGapMs(): Millis {
    const { directory, target } = this.options;
    return directory.pace.hasPrefill(target.id)
      ? directory.pace.prefillGapMs(target.service) * directory.paceOf(target.id)
      : 0;
  }
}
