/** What one run was heard of, and the silence that its gaps explain. */
import computeSilenceBound, {
  INITIAL_GAP_ESTIMATE,
  updateGapEstimate,
  type GapEstimate,
} from '@limelead/suspect-silence';
import type { Clock, Millis, RecoveryPolicy, ServiceTarget } from '@limelead/types';
import type { WatchedRun } from './silence-watch.js';

/** Time in which a run that goes on from a copy sends its first piece. */
const FIRST_PIECE_OF_COPY_MS = 500;

/** What is known of a run when it is sent. */
export interface RunHearingOptions {
  requestId: string;
  target: ServiceTarget;
  /** True where it goes on from a copy and reads next to nothing before its first piece. */
  continuesCopy: boolean;
  policy: RecoveryPolicy;
  /** Time in which a run that reads its prompt sends its first piece, in milliseconds. */
  readingBoundMs: number;
  clock: Clock;
  onSilent(): void;
}

/** One run under watch. */
export default class RunHearing implements WatchedRun {
  readonly requestId: string;
  readonly target: ServiceTarget;
  readonly startedAtMs: Millis;
  heardAtMs: Millis;
  isSending: boolean;
  missedInProbes = 0;
  private gaps: GapEstimate = INITIAL_GAP_ESTIMATE;
  private hasSentPieces = false;

  constructor(private readonly options: RunHearingOptions) {
    this.requestId = options.requestId;
    this.target = options.target;
    this.startedAtMs = options.clock.now();
    this.heardAtMs = this.startedAtMs;
    this.isSending = options.continuesCopy;
  }

  /** The run sent something. */
  hear(): void {
    const now = this.options.clock.now();
    if (this.hasSentPieces) {
      this.gaps = updateGapEstimate(this.gaps, now - this.heardAtMs);
    }
    this.hasSentPieces = true;
    this.isSending = true;
    this.heardAtMs = now;
  }

  boundMs(): number {
    const { continuesCopy, readingBoundMs, policy } = this.options;
    if (this.hasSentPieces) {
      return computeSilenceBound(this.gaps, policy);
    }
    return continuesCopy ? FIRST_PIECE_OF_COPY_MS : readingBoundMs;
  }

  onSilent(): void {
    this.options.onSilent();
  }
}
