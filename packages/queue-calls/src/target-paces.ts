/**
 * Expected time of an answer at each target, learned from the times between place and release.
 * Addresses targets whose work takes 2.5 times as long for half a second at a time.
 */
import type { Millis } from '@limelead/types';

/** Weight of an answer in the mean of its target: about the last 8 answers count. */
const TARGET_WEIGHT = 0.2;
/** Weight of an answer in the usual time of the service: about the last 200 answers count. */
const USUAL_WEIGHT = 0.01;
/** Deviations above the mean that an answer is expected to take at most. */
const DEVIATIONS = 1;
/** Half-life of the difference from the usual time while no answer arrives. */
const HALF_LIFE_MS: Millis = 250;

interface Pace {
  meanMs: Millis;
  deviationMs: Millis;
  answeredAtMs: Millis;
  /** Time since which the target has had calls; undefined while it is idle. */
  busySinceMs?: Millis;
}

/** Paces of the targets of one service. */
export default class TargetPaces {
  private readonly paces = new Map<string, Pace>();
  private usual: Millis | undefined;

  /** Mean time of an answer at all targets; 0 before the first. */
  get usualMs(): Millis {
    return this.usual ?? 0;
  }

  /** Records the time from place to answer. */
  recordAnswer(target: string, tookMs: Millis, now: Millis): void {
    this.usual = this.usual === undefined ? tookMs : mix(this.usual, tookMs, USUAL_WEIGHT);
    const known = this.paces.get(target);
    const meanMs = known === undefined ? tookMs : this.meanOf(known, now);
    this.paces.set(target, {
      ...known,
      meanMs: mix(meanMs, tookMs, TARGET_WEIGHT),
      deviationMs: mix(known?.deviationMs ?? 0, Math.abs(tookMs - meanMs), TARGET_WEIGHT),
      answeredAtMs: now,
    });
  }

  /** Records whether calls are in progress at a target. */
  recordUse(target: string, isBusy: boolean, now: Millis): void {
    const pace = this.paces.get(target);
    if (pace !== undefined) {
      pace.busySinceMs = isBusy ? (pace.busySinceMs ?? now) : undefined;
    } else if (isBusy) {
      const meanMs = this.usualMs;
      this.paces.set(target, { meanMs, deviationMs: 0, answeredAtMs: now, busySinceMs: now });
    }
  }

  /** Time for which a target with calls in progress has not answered any; 0 for an idle one. */
  silenceMs(target: string, now: Millis): Millis {
    const pace = this.paces.get(target);
    return pace?.busySinceMs === undefined
      ? 0
      : now - Math.max(pace.busySinceMs, pace.answeredAtMs);
  }

  /** Time that an answer takes at most as a rule; at least the present silence of the target. */
  expectedMs(target: string, now: Millis): Millis {
    const pace = this.paces.get(target);
    if (pace === undefined) {
      return this.usualMs;
    }
    const expectedMs = this.meanOf(pace, now) + DEVIATIONS * pace.deviationMs;
    return Math.max(expectedMs, this.silenceMs(target, now));
  }

  /** Mean time of an answer at a target at its present pace. */
  meanMs(target: string, now: Millis): Millis {
    const pace = this.paces.get(target);
    return pace === undefined ? this.usualMs : this.meanOf(pace, now);
  }

  /** Forgets all targets except the listed ones. */
  retain(targets: ReadonlySet<string>): void {
    [...this.paces.keys()]
      .filter((target) => !targets.has(target))
      .forEach((target) => this.paces.delete(target));
  }

  /** A pace that isn't measured any more returns to the usual one, so that the target is used again. */
  private meanOf({ meanMs, answeredAtMs }: Pace, now: Millis): Millis {
    const share = 2 ** (-Math.max(0, now - answeredAtMs) / HALF_LIFE_MS);
    return this.usualMs + (meanMs - this.usualMs) * share;
  }
}

function mix(before: number, next: number, weight: number): number {
  return before + (next - before) * weight;
}
