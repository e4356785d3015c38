/** A clock and timers that a test advances manually. */
import type { Clock, Timers } from '@limelead/types';

/** A clock and timers that only move on request. */
export interface ManualTime {
  clock: Clock;
  timers: Timers;
  /** Moves the clock and runs due timers in order; flushes promises after each timer. */
  advance(milliseconds: number): Promise<void>;
  /** Moves the clock without running timers, as when the process is paused. */
  jump(milliseconds: number): void;
}

interface ManualTimer {
  atMs: number;
  run: () => void;
}

/** Creates a clock that starts at the given time. */
export default function createManualTime(startMs = 1_000_000): ManualTime {
  let now = startMs;
  let pending: ManualTimer[] = [];

  function takeNext(untilMs: number): ManualTimer | undefined {
    const due = pending.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0];
    pending = pending.filter((timer) => timer !== due);
    return due;
  }

  return {
    clock: { now: () => now },
    timers: {
      after(milliseconds, run) {
        const timer = { atMs: now + milliseconds, run };
        pending.push(timer);
        return () => {
          pending = pending.filter((other) => other !== timer);
        };
      },
    },
    jump(milliseconds) {
      now += milliseconds;
    },
    async advance(milliseconds) {
      const untilMs = now + milliseconds;
      await flushPromises();
      for (let timer = takeNext(untilMs); timer !== undefined; timer = takeNext(untilMs)) {
        now = Math.max(now, timer.atMs);
        timer.run();
        await flushPromises();
      }
      now = untilMs;
      await flushPromises();
    },
  };
}

const FLUSH_TURNS = 5;

/** Runs all pending promise callbacks that do not wait for a timer. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < FLUSH_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
