/** A simulated clock that advances from one timer to the next, independent of real time. */
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';

interface PendingTimer {
  atMs: Millis;
  /** Orders timers that are due at the same time. */
  sequence: number;
  run: () => void;
}

/** Clock and timers in simulated time. */
export default class SimulatedTime implements Clock, Timers {
  private nowMs: Millis = 0;
  private nextSequence = 0;
  private pending: PendingTimer[] = [];

  now(): Millis {
    return this.nowMs;
  }

  after(milliseconds: number, run: () => void): CancelTimer {
    const timer = {
      atMs: this.nowMs + Math.max(0, milliseconds),
      sequence: this.nextSequence,
      run,
    };
    this.nextSequence += 1;
    const laterIndex = this.pending.findIndex(({ atMs }) => atMs > timer.atMs);
    this.pending.splice(laterIndex < 0 ? this.pending.length : laterIndex, 0, timer);
    return () => {
      this.pending = this.pending.filter((other) => other !== timer);
    };
  }

  /** Runs all timers due by the given time, including those set meanwhile. */
  runUntil(untilMs: Millis): void {
    let next = this.pending[0];
    while (next !== undefined && next.atMs <= untilMs) {
      this.pending.shift();
      this.nowMs = next.atMs;
      next.run();
      next = this.pending[0];
    }
    this.nowMs = untilMs;
  }

  /** Runs timers and the promises that they resolve, until `isDone` or the given time. */
  async settleUntil(isDone: () => boolean, untilMs: Millis): Promise<void> {
    await settle();
    let next = this.pending[0];
    while (!isDone() && next !== undefined && next.atMs <= untilMs) {
      this.runUntil(next.atMs);
      await settle();
      next = this.pending[0];
    }
  }
}

/** Resolves after all pending promise callbacks have run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
