/**
 * Detects time that the steady clock missed, as when the VM was suspended, by comparing it with the
 * time of day. A time of day that is set ahead looks the same, so reactions must be harmless.
 */
import type { Clock, Millis } from '@limelead/types';

/**
 * Minimum difference that counts as a jump; smaller ones are clock drift and corrections. Both
 * clocks drift by a thousandth at most, and leases keep a margin of similar size.
 */
const MIN_JUMP_MS = 150;

/** Number of jumps kept; a lease is renewed several times before as many can occur. */
const MAX_JUMPS = 16;

/** Compares a steady clock with the time of day. */
export default class ClockJumpDetector {
  /** Offset of the time of day from the steady clock at the last check. */
  private aheadMs: Millis;
  /** Jumps, newest last. */
  private jumps: { atMs: Millis; jumpMs: Millis }[] = [];

  /**
   * @param onJump called with the time that may have been missed
   */
  constructor(
    private readonly steady: Clock,
    private readonly timeOfDay: Clock,
    private readonly onJump: (jumpMs: Millis) => void,
  ) {
    this.aheadMs = timeOfDay.now() - steady.now();
  }

  /** Returns the time that may have been missed since a steady time. */
  jumpedSince(atMs: Millis): Millis {
    this.check();
    return this.jumps
      .filter((jump) => jump.atMs >= atMs)
      .reduce((sum, { jumpMs }) => sum + jumpMs, 0);
  }

  /** Records a jump since the last check. */
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
