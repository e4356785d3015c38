/**
 * True time as most VMs see it. Each VM tells the time by the clock that it saw when its
 * process started, carried on by its steady clock: a clock that jumps later changes nothing,
 * and one that was wrong at the start is one of many.
 */
import type { Clock, Millis } from '@limelead/types';

/** A VM that told nothing for this long, in milliseconds, may be another by now. */
const FORGET_AFTER_MS = 60_000;
/** VMs whose word is kept; a median of more is no better. */
const MAX_PEERS = 64;

/** What an estimate needs. */
export interface TimeEstimateOptions {
  /** Steady. */
  clock: Clock;
  /** Milliseconds since 1970 when the steady clock showed 0, by this machine's clock at the start. */
  originMs: Millis;
}

interface ToldOrigin {
  originMs: Millis;
  toldAtMs: Millis;
}

/** Estimates true time. */
export default class TimeEstimate implements Clock {
  private readonly told = new Map<string, ToldOrigin>();

  constructor(private readonly options: TimeEstimateOptions) {}

  /** This VM's own word, in milliseconds since 1970. */
  get ownTimeMs(): Millis {
    return this.options.originMs + this.options.clock.now();
  }

  /** Difference of the estimate to this VM's own word, in milliseconds. */
  get correctionMs(): Millis {
    return this.medianOrigin() - this.options.originMs;
  }

  /** A peer said what time it is, in milliseconds since 1970. */
  hear(peer: string, timeMs: Millis): void {
    const toldAtMs = this.options.clock.now();
    // Put in again at the end, so that the first is the one that was silent for longest.
    this.told.delete(peer);
    this.told.set(peer, { originMs: timeMs - toldAtMs, toldAtMs });
    const [oldest] = this.told.keys();
    if (this.told.size > MAX_PEERS && oldest !== undefined) {
      this.told.delete(oldest);
    }
  }

  /** True time, in milliseconds since 1970. */
  now(): Millis {
    return this.medianOrigin() + this.options.clock.now();
  }

  private medianOrigin(): Millis {
    const { originMs, clock } = this.options;
    const since = clock.now() - FORGET_AFTER_MS;
    const told = [...this.told.values()].filter(({ toldAtMs }) => toldAtMs >= since);
    const origins = [originMs, ...told.map((word) => word.originMs)].sort((a, b) => a - b);
    return origins[Math.floor((origins.length - 1) / 2)] ?? originMs;
  }
}
