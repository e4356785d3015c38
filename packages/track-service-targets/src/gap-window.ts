/**
 * Gaps between the pieces of all runs at one target in the last half second. Sums are kept up to
 * date, since each piece adds a gap and a target may have a hundred runs.
 */
import type { Millis } from '@limelead/types';

/** Age at which a gap no longer counts. */
const WINDOW_MS: Millis = 500;
/** Expired gaps that are kept in memory until they are removed together. */
const MAX_EXPIRED = 64;

/** A gap between pieces and the time that is usual for them. */
export interface MeasuredGap {
  atMs: Millis;
  gapMs: Millis;
  usualMs: Millis;
}

/** Gaps in the order of their times. */
export default class GapWindow {
  private gaps: MeasuredGap[] = [];
  /** Number of gaps at the front that have expired. */
  private expired = 0;
  private gapMs: Millis = 0;
  private usualMs: Millis = 0;

  /** Number of gaps in memory. */
  get size(): number {
    return this.gaps.length;
  }

  add(gap: MeasuredGap): void {
    this.expire(gap.atMs);
    this.gaps.push(gap);
    this.gapMs += gap.gapMs;
    this.usualMs += gap.usualMs;
  }

  /** Sums over the gaps that count; both are 0 if none does. */
  sumAt(now: Millis): Pick<MeasuredGap, 'gapMs' | 'usualMs'> {
    this.expire(now);
    return { gapMs: this.gapMs, usualMs: this.usualMs };
  }

  private expire(now: Millis): void {
    for (; this.expired < this.gaps.length; this.expired += 1) {
      const gap = this.gaps[this.expired];
      if (gap === undefined || now - gap.atMs < WINDOW_MS) {
        break;
      }
      this.gapMs -= gap.gapMs;
      this.usualMs -= gap.usualMs;
    }
    if (this.expired === this.gaps.length) {
      // Also removes the rounding errors of the sums.
      Object.assign(this, { gaps: [], expired: 0, gapMs: 0, usualMs: 0 });
    } else if (this.expired > MAX_EXPIRED && this.expired > this.gaps.length / 2) {
      this.gaps = this.gaps.slice(this.expired);
      this.expired = 0;
    }
  }
}
