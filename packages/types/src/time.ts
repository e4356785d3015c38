/** Clocks, timers and randomness as dependencies, so that tests can replace them. */

/** A time or duration in milliseconds; times are Unix time unless stated otherwise. */
export type Millis = number;

export interface Clock {
  now(): Millis;
}

/** Source of numbers in [0, 1). */
export interface Random {
  next(): number;
}

/** Clock of the machine; Unix time. */
export const systemClock: Clock = { now: () => Date.now() };

/** Monotonic clock of the process: milliseconds since its start. */
export const steadyClock: Clock = { now: () => performance.now() };

/** Randomness of the runtime, for jitter and tie-breaking; never for secrets. */
export const systemRandom: Random = { next: () => Math.random() };

/** Cancels a timer. */
export type CancelTimer = () => void;

export interface Timers {
  /** Runs the function once after the given milliseconds. */
  after(milliseconds: number, run: () => void): CancelTimer;
}

/** Timers of the runtime; a pending timer keeps the process alive. */
export const systemTimers: Timers = {
  after(milliseconds, run) {
    const timer = setTimeout(run, milliseconds);
    return () => clearTimeout(timer);
  },
};

/** Timers of the runtime that do not keep the process alive. */
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
