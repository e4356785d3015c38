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

export interface RunActivityOptions {
  requestId: string;
  target: ServiceTarget;
  /** True if the run resumes from a replica, which skips nearly all of the prefill. */
  resumesFromReplica: boolean;
  policy: RecoveryPolicy;
  /** Longest time to the first piece of a run that reads its prompt, in milliseconds. */
  maxPrefillMs: number;
  /** Longest pause that the route allows. */
  maxPauseMs: Millis;
  /** Gaps of the request's previous run at the usual pace; undefined for its first one. */
  carried?: GapEstimate;
  clock: Clock;
  directory: Pick<TargetDirectory, 'pace' | 'paceOf'>;
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
  firstPieceAtMs?: Millis;
  private gaps: GapEstimate;
  private lastPieceAtMs: Millis;
  private isReadPaused = false;
  private hasToStay = false;

  constructor(private readonly options: RunActivityOptions) {
    const { carried, clock, directory, target } = options;
    this.requestId = options.requestId;
    this.target = target;
    this.maxPauseMs = options.maxPauseMs;
    this.startedAtMs = clock.now();
    this.lastPieceAtMs = this.startedAtMs;
    this.isWriting = options.resumesFromReplica;
    this.gaps = carried
      ? scaleGapEstimate(carried, directory.paceOf(target.id))
      : INITIAL_GAP_ESTIMATE;
  }

  /** Time of the last piece, or now while this VM itself pauses reading. */
  get lastActivityAtMs(): Millis {
    return this.isReadPaused ? this.options.clock.now() : this.lastPieceAtMs;
  }

  /** While reading is paused, the run counts as active; afterwards its silence starts anew. */
  setReadPaused(isPaused: boolean): void {
    if (this.isReadPaused && !isPaused) {
      this.lastPieceAtMs = this.options.clock.now();
    }
    this.isReadPaused = isPaused;
  }

  recordActivity(): void {
    const now = this.options.clock.now();
    if (this.firstPieceAtMs !== undefined) {
      this.gaps = updateGapEstimate(this.gaps, now - this.lastPieceAtMs);
    }
    this.firstPieceAtMs ??= now;
    this.isWriting = true;
    this.missedProbes = 0;
    this.lastPieceAtMs = now;
  }

  /** The run could not be stopped; only the loss of its target ends it. */
  stay(): void {
    this.hasToStay = true;
  }

  maxSilenceMs(): number {
    const { resumesFromReplica, policy } = this.options;
    const maxPrefillMs = this.hasToStay ? Infinity : this.options.maxPrefillMs;
    if (this.firstPieceAtMs !== undefined) {
      return computeSilenceTimeoutBesidePrefill(this.gaps, this.prefillGapMs, policy);
    }
    return resumesFromReplica ? policy.maxSilenceMs : maxPrefillMs;
  }

  onSilent(cause: GiveUpCause): void {
    this.options.onSilent(cause);
  }

  /** Gaps at the usual pace, with which the next run of the request starts. */
  carry(): GapEstimate {
    const { carried, directory, target } = this.options;
    if (this.firstPieceAtMs === undefined) {
      // Its gaps are those that it began with; the pace of its target may have changed since.
      return carried ?? INITIAL_GAP_ESTIMATE;
    }
    return scaleGapEstimate(this.gaps, 1 / directory.paceOf(target.id));
  }

  /** Longest usual gap while a prompt is prefilled at the target; 0 while none is. */
  private get prefillGapMs(): Millis {
    const { directory, target } = this.options;
    return directory.pace.hasPrefill(target.id)
      ? directory.pace.prefillGapMs(target.service) * directory.paceOf(target.id)
      : 0;
  }
}
