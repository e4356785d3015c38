/** A clock of its own: time passes from one timer to the next, whatever the machine does. */
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';

interface DueTimer {
  atMs: Millis;
  /** Timers of one moment run in the order in which they were set. */
  number: number;
  run: () => void;
}

/** Plays timers in their order. */
export default class ReplayTime implements Clock, Timers {
  private nowMs: Millis = 0;
  private set = 0;
  private due: DueTimer[] = [];

  now(): Millis {
    return this.nowMs;
  }

  after(milliseconds: number, run: () => void): CancelTimer {
    const timer = { atMs: this.nowMs + Math.max(0, milliseconds), number: this.set, run };
    this.set += 1;
    const behind = this.due.findIndex(({ atMs }) => atMs > timer.atMs);
    this.due.splice(behind < 0 ? this.due.length : behind, 0, timer);
    return () => {
      this.due = this.due.filter((other) => other !== timer);
    };
  }

  /** Runs every timer up to the given time, and those that they set. */
  runUntil(untilMs: Millis): void {
    let next = this.due[0];
    while (next !== undefined && next.atMs <= untilMs) {
      this.due.shift();
      this.nowMs = next.atMs;
      next.run();
      next = this.due[0];
    }
    this.nowMs = untilMs;
  }

  /** The same, where timers wake promises that set further timers. */
  async settleUntil(isDone: () => boolean, untilMs: Millis): Promise<void> {
    await settle();
    let next = this.due[0];
    while (!isDone() && next !== undefined && next.atMs <= untilMs) {
      this.runUntil(next.atMs);
      await settle();
      next = this.due[0];
    }
  }
}

/** Resolves when every promise that could go on has done so. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
