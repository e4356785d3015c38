/** Counts and logs the pauses in reading from targets. */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Clock, Millis } from '@limelead/types';

/** A pause that has ended. */
export interface EndedPause {
  requestId: string;
  /** Bytes that wait for the caller now. */
  waitingBytes: number;
  pausedMs: Millis;
  /** `drained`: the caller caught up; `overdue`: the pause reached its limit; `ended`: the answer ended. */
  outcome: 'drained' | 'overdue' | 'ended';
}

/** The pauses of all answers of one VM. */
export default class ReadPauses {
  private count = 0;
  private readonly log: RateLimitedLog;

  constructor(log: Pick<DecisionLog, 'write'>, clock: Clock) {
    this.log = createRateLimitedLog(log, clock, 'reading-paused');
  }

  /** Answers whose reading is paused now. */
  get pausedReads(): number {
    return this.count;
  }

  onPaused(): void {
    this.count += 1;
  }

  onEnded({ pausedMs, ...fields }: EndedPause): void {
    this.count -= 1;
    this.log({ ...fields, pausedMs: Math.round(pausedMs) });
  }
}
