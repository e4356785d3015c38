/** Clocks, timers and randomness as arguments, so that tests can inject them. */

/** A point in time in Unix milliseconds. */
export type Millis = number;

/** Reads the present time. */
export interface Clock {
  now(): Millis;
}

/** Gives numbers in [0, 1). */
export interface Random {
  next(): number;
}

/** The clock of the machine. */
export const systemClock: Clock = { now: () => Date.now() };

/** Steady clock of the process: milliseconds since its start, which never jump. */
export const steadyClock: Clock = { now: () => performance.now() };

/** Randomness of the runtime, for jitter and tie-breaking; never for secrets. */
export const systemRandom: Random = { next: () => Math.random() };

/** Ends a timer that was set. */
export type CancelTimer = () => void;

/** Sets timers. */
export interface Timers {
  /** Runs the function once after the given milliseconds. */
  after(milliseconds: number, run: () => void): CancelTimer;
}

/** Timers of the runtime, for those whose process ends with their work. */
export const systemTimers: Timers = {
  after(milliseconds, run) {
    const timer = setTimeout(run, milliseconds);
    return () => clearTimeout(timer);
  },
};

/** Timers of the runtime that do not keep the process alive, for a daemon that its servers keep. */
export const backgroundTimers: Timers = {
  after(milliseconds, run) {
    const timer = setTimeout(run, milliseconds);
    timer.unref();
    return () => clearTimeout(timer);
  },
};

/** Resolves after the given milliseconds. */
export function delay(timers: Timers, milliseconds: number): Promise<void> {
  return new Promise((resolve) => timers.after(milliseconds, resolve));
}
