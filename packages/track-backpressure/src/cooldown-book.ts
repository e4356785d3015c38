/** The cooldown of each target. */
import type { Millis } from '@limelead/types';

/** A span in which this VM sends nothing to a target. */
export interface Cooldown {
  sinceMs: Millis;
  untilMs: Millis;
}

/** Effect of a requested cooldown; one that ends before the present one has none. */
export type CooldownOutcome = 'begun' | 'prolonged' | 'covered';

/** Keeps the latest cooldown of each target, expired ones included. */
export default class CooldownBook {
  private readonly cooldowns = new Map<string, Cooldown>();

  get size(): number {
    return this.cooldowns.size;
  }

  /** The latest cooldown of a target, which may have expired. */
  find(target: string): Cooldown | undefined {
    return this.cooldowns.get(target);
  }

  /** The cooldown of a target, unless it has expired. */
  findActive(target: string, now: Millis): Cooldown | undefined {
    const cooldown = this.cooldowns.get(target);
    return cooldown !== undefined && cooldown.untilMs > now ? cooldown : undefined;
  }

  /** Number of targets in a cooldown. */
  countActive(now: Millis): number {
    return [...this.cooldowns.values()].filter(({ untilMs }) => untilMs > now).length;
  }

  /** Begins or prolongs a cooldown; never shortens it. */
  extend(target: string, untilMs: Millis, now: Millis): CooldownOutcome {
    const active = this.findActive(target, now);
    if (active === undefined) {
      this.cooldowns.set(target, { sinceMs: now, untilMs });
      return 'begun';
    }
    if (untilMs <= active.untilMs) {
      return 'covered';
    }
    this.cooldowns.set(target, { ...active, untilMs });
    return 'prolonged';
  }

  /** Removes cooldowns that expired by the given time. */
  prune(endedByMs: Millis): void {
    for (const [target, { untilMs }] of this.cooldowns) {
      if (untilMs <= endedByMs) {
        this.cooldowns.delete(target);
      }
    }
  }
}
