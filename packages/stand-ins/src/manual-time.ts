/** A clock and timers that a test moves by hand. */
import type { Clock, Timers } from '@limelead/types';

/** Time that stands still until it is advanced. */
export interface ManualTime {
  clock: Clock;
  timers: Timers;
  /** Moves the clock and runs the timers that fall due, in order; lets promises settle in between. */
  advance(milliseconds: number): Promise<void>;
  /** Moves the clock alone, as when the process is paused. */
  jump(milliseconds: number): void;
}

interface ManualTimer {
  atMs: number;
  run: () => void;
}

/** Creates time that begins at a moment. */
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

const TURNS_TO_SETTLE = 5;

/** Lets everything run that waits for no timer. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < TURNS_TO_SETTLE; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
