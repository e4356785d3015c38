/** One run of a guarded request at one target, from its sending to the end of the attempt. */
import type { Millis, ServiceTarget } from '@limelead/types';
import type { RequestIdentity } from './identify-request.js';
import type { RequestSummary } from './request-summary.js';

/** The parts of a target that tell where a run took place. */
export type RunTarget = Pick<ServiceTarget, 'id' | 'service' | 'version'>;

/**
 * How a run ended: with an answer, with an error of the target, by a broken connection, given up by
 * this VM or the caller, or before the target began it.
 */
export type RunEnd = 'answered' | 'failed' | 'broken' | 'abandoned' | 'not-run';

/** What a run reports to its request. */
export interface RunOwner {
  readonly now: Millis;
  readonly identity: RequestIdentity;
  summarize(): RequestSummary;
  /** Called for each output of a run. */
  onOutput(run: GuardedRun): void;
  /** Called when the target of an open run has ended. */
  onTargetEnded(run: GuardedRun): void;
  /** Called once. */
  onRunEnded(run: GuardedRun, end: RunEnd): void;
}

/** A run; reports after its end have no effect. */
export default class GuardedRun {
  /** Undefined while the run is open. */
  endedAtMs: Millis | undefined;
  /** Whether the target has written a piece of its answer. */
  hasOutput = false;

  /** @param startedAtMs when it was sent; steady time */
  constructor(
    readonly target: RunTarget,
    readonly startedAtMs: Millis,
    readonly owner: RunOwner,
  ) {}

  recordOutput(): void {
    if (this.endedAtMs === undefined) {
      this.hasOutput = true;
      this.owner.onOutput(this);
    }
  }

  /** @param isGood whether the answer is not a server error */
  recordAnswer(isGood: boolean): void {
    this.end(isGood ? 'answered' : 'failed');
  }

  recordBroken(): void {
    this.end('broken');
  }

  recordNotRun(): void {
    this.end('not-run');
  }

  /** Records that nobody waits for the answer any more; the target may still run the request. */
  abandon(): void {
    this.end('abandoned');
  }

  private end(end: RunEnd): void {
    if (this.endedAtMs === undefined) {
      this.endedAtMs = this.owner.now;
      this.owner.onRunEnded(this, end);
    }
  }
}
