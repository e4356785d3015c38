/**
 * Requests that arrive before this VM has a configuration. It usually loads one soon after
 * the start, so such requests are held for a while instead of being refused.
 */
import type { CancelTimer, Millis, Timers } from '@limelead/types';

/** Fraction of the caller's timeout for which a request is held; the rest is for the answer or a retry. */
const HOLD_FRACTION = 0.2;
/** Timeout assumed for callers that send none. */
const DEFAULT_TIMEOUT_MS: Millis = 1_000;
/** Limit on held requests; each keeps a connection and buffered data. */
const MAX_HELD_REQUESTS = 512;

/** Holds requests until a configuration is known or their hold time has passed. */
export default class HeldRequests {
  private readonly held = new Map<() => void, CancelTimer>();

  constructor(private readonly timers: Timers) {}

  /** Number of held requests. */
  get size(): number {
    return this.held.size;
  }

  /**
   * Holds a request. Calls `proceed` once: after the hold time, on `releaseAll`, or at once if
   * too many requests are held.
   * @param timeoutMs the caller's timeout, if known
   * @returns a function that drops the request
   */
  hold(timeoutMs: Millis | undefined, proceed: () => void): () => void {
    if (this.held.size >= MAX_HELD_REQUESTS) {
      proceed();
      return () => undefined;
    }
    const run = (): void => {
      this.remove(run);
      proceed();
    };
    this.held.set(run, this.timers.after(computeHoldMs(timeoutMs), run));
    return () => this.remove(run);
  }

  /** Continues all held requests in order of arrival. */
  releaseAll(): void {
    [...this.held.keys()].forEach((run) => run());
  }

  private remove(run: () => void): void {
    this.held.get(run)?.();
    this.held.delete(run);
  }
}

/** Time to hold a request, or to wait before a retry, for a caller's timeout. */
export function computeHoldMs(timeoutMs: Millis = DEFAULT_TIMEOUT_MS): Millis {
  return timeoutMs * HOLD_FRACTION;
}
