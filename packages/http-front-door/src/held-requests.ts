/**
 * Requests that arrived before this VM knew a configuration. A VM that starts
 * learns it within milliseconds of the store's answer, and while the store is
 * away no other VM that just started knows more, so a request that can wait is
 * better held for a while than refused.
 */
import type { CancelTimer, Millis, Timers } from '@limelead/types';

/**
 * Part of the time that its caller waits for which a request is held. What is
 * left has to be enough to answer it, or to come back for a second try.
 */
const HOLD_FRACTION = 0.2;
/** Time that a caller who names none is taken to wait, in milliseconds; that of a short call. */
const DEFAULT_TIMEOUT_MS: Millis = 1_000;
/** Requests held at once; each keeps a connection and what was read of its body. */
const MAX_HELD_REQUESTS = 512;

/** Holds requests until there is a configuration, or until they waited long enough. */
export default class HeldRequests {
  private readonly held = new Map<() => void, CancelTimer>();

  constructor(private readonly timers: Timers) {}

  /** Requests held now. */
  get size(): number {
    return this.held.size;
  }

  /**
   * Holds a request. `proceed` is called once, when the request waited long enough
   * or all are released; at once where too many wait already.
   * @param waitMs time that the caller still waits; undefined where it does not say
   * @returns forgets the request
   */
  hold(waitMs: Millis | undefined, proceed: () => void): () => void {
    if (this.held.size >= MAX_HELD_REQUESTS) {
      proceed();
      return () => undefined;
    }
    const run = (): void => {
      this.remove(run);
      proceed();
    };
    this.held.set(run, this.timers.after(computeHoldMs(waitMs), run));
    return () => this.remove(run);
  }

  /** Lets all go on, first come first served. */
  releaseAll(): void {
    [...this.held.keys()].forEach((run) => run());
  }

  private remove(run: () => void): void {
    this.held.get(run)?.();
    this.held.delete(run);
  }
}

/** The part of a caller's time that a request may be held, or may stay away, in milliseconds. */
export function computeHoldMs(waitMs: Millis = DEFAULT_TIMEOUT_MS): Millis {
  return waitMs * HOLD_FRACTION;
}
