/** Simulated time that advances from one timer to the next; a binary heap orders the timers. */
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';

interface Timer {
  atMs: Millis;
  /** Orders timers of the same time. */
  sequence: number;
  run: (() => void) | undefined;
}

/** Clock and timers of a simulated fleet. */
export default class SimulatedClock implements Clock, Timers {
  private nowMs: Millis = 0;
  private sequence = 0;
  private readonly heap: Timer[] = [];

  now(): Millis {
    return this.nowMs;
  }

  after(milliseconds: Millis, run: () => void): CancelTimer {
    this.sequence += 1;
    const atMs = this.nowMs + Math.max(0, milliseconds);
    const timer: Timer = { atMs, sequence: this.sequence, run };
    this.push(timer);
    return () => {
      timer.run = undefined;
    };
  }

  runUntil(untilMs: Millis): void {
    for (let next = this.heap[0]; next !== undefined && next.atMs <= untilMs; next = this.heap[0]) {
      this.pop();
      this.nowMs = next.atMs;
      next.run?.();
    }
    this.nowMs = untilMs;
  }

  private push(timer: Timer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent] as Timer, timer)) {
        break;
      }
      heap[index] = heap[parent] as Timer;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as Timer;
    if (heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const isRightFirst =
        right < heap.length && isBefore(heap[right] as Timer, heap[left] as Timer);
      const child = isRightFirst ? right : left;
      if (child >= heap.length || isBefore(last, heap[child] as Timer)) {
        break;
      }
      heap[index] = heap[child] as Timer;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
