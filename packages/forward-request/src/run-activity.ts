/** Tracks when a run last sent a piece and how long it may be silent. */
import computeSilenceTimeout, {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { Clock, Millis, RecoveryPolicy, ServiceTarget } from '@limelead/types';
import type { MonitoredRun } from './silence-monitor.js';

/** Longest time to the first piece of a run that resumes from a replica. */
const MAX_RESUMED_FIRST_PIECE_MS = 500;

export interface RunActivityOptions {
  requestId: string;
  target: ServiceTarget;
  /** True if the run resumes from a replica, which skips nearly all of the prefill. */
  resumesFromReplica: boolean;
  policy: RecoveryPolicy;
  /** Longest time to the first piece of a run that reads its prompt, in milliseconds. */
  maxPrefillMs: number;
  clock: Clock;
  onSilent(): void;
}

/** Activity of one monitored run. */
export default class RunActivity implements MonitoredRun {
  readonly requestId: string;
  readonly target: ServiceTarget;
  readonly startedAtMs: Millis;
  isWriting: boolean;
  missedProbes = 0;
  private gaps: GapEstimate = INITIAL_GAP_ESTIMATE;
  private hasSentPieces = false;
  private lastPieceAtMs: Millis;
  private isReadPaused = false;

  constructor(private readonly options: RunActivityOptions) {
    this.requestId = options.requestId;
    this.target = options.target;
    this.startedAtMs = options.clock.now();
    this.lastPieceAtMs = this.startedAtMs;
    this.isWriting = options.resumesFromReplica;
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
    if (this.hasSentPieces) {
      this.gaps = updateGapEstimate(this.gaps, now - this.lastPieceAtMs);
    }
    this.hasSentPieces = true;
    this.isWriting = true;
    this.lastPieceAtMs = now;
  }

  maxSilenceMs(): number {
    const { resumesFromReplica, maxPrefillMs, policy } = this.options;
    if (this.hasSentPieces) {
      return computeSilenceTimeout(this.gaps, policy);
    }
    return resumesFromReplica ? MAX_RESUMED_FIRST_PIECE_MS : maxPrefillMs;
  }

  onSilent(): void {
    this.options.onSilent();
  }
}
