/**
 * Time that the steady clock may not have counted. A VM that is suspended stands still with its
 * steady clock; its time of day has gone on when it wakes up. A time of day that somebody
 * sets ahead looks the same, so what follows from it has to be harmless.
 */
import type { Clock, Millis } from '@limelead/types';

/**
 * A time of day that gets ahead of the steady clock by less is taken for correction, in
 * milliseconds: both drift by a thousandth at most, and a lease keeps a margin as large.
 */
const MIN_JUMP_MS = 150;

/** Jumps kept; a lease is renewed several times before as many could come. */
const MAX_JUMPS = 16;

/** Compares two clocks. */
export default class ClockJumpDetector {
  /** How far the time of day was ahead of the steady clock when last looked at. */
  private aheadMs: Millis;
  /** Jumps, the newest last. */
  private jumps: { atMs: Millis; jumpMs: Millis }[] = [];

  /** @param onJump called with the time that may have been lost, in milliseconds */
  constructor(
    private readonly steady: Clock,
    private readonly timeOfDay: Clock,
    private readonly onJump: (jumpMs: Millis) => void,
  ) {
    this.aheadMs = timeOfDay.now() - steady.now();
  }

  /** Time that may have passed uncounted since a steady time, in milliseconds. */
  jumpedSince(atMs: Millis): Millis {
    this.check();
    return this.jumps
      .filter((jump) => jump.atMs >= atMs)
      .reduce((sum, { jumpMs }) => sum + jumpMs, 0);
  }

  /** Notices what was lost until now; the sooner, the less counts as sent before it. */
  check(): void {
    const now = this.steady.now();
    const aheadMs = this.timeOfDay.now() - now;
    const jumpMs = aheadMs - this.aheadMs;
    if (jumpMs > 0 && jumpMs < MIN_JUMP_MS) {
      return;
    }
    this.aheadMs = aheadMs;
    if (jumpMs >= MIN_JUMP_MS) {
      this.jumps = [...this.jumps.slice(1 - MAX_JUMPS), { atMs: now, jumpMs }];
      this.onJump(jumpMs);
    }
  }
}
