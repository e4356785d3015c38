/** Cooldown of each target. */
import type { Millis } from '@limelead/types';

/** A time span in which this VM sends no requests to a target. */
export interface Cooldown {
  sinceMs: Millis;
  untilMs: Millis;
}

/** Effect of a requested cooldown; `covered` if the present one lasts at least as long. */
export type CooldownChange = 'begun' | 'prolonged' | 'covered';

/** Keeps the latest cooldown of each target, including expired ones. */
export default class CooldownTable {
  private readonly cooldowns = new Map<string, Cooldown>();

  get size(): number {
    return this.cooldowns.size;
  }

  /** The latest cooldown of a target, expired or not. */
  find(target: string): Cooldown | undefined {
    return this.cooldowns.get(target);
  }

  /** The cooldown of a target, unless it expired. */
  findActive(target: string, now: Millis): Cooldown | undefined {
    const cooldown = this.cooldowns.get(target);
    return cooldown !== undefined && cooldown.untilMs > now ? cooldown : undefined;
  }

  /** Number of targets in a cooldown. */
  countActive(now: Millis): number {
    return [...this.cooldowns.values()].filter(({ untilMs }) => untilMs > now).length;
  }

  /** Starts or prolongs a cooldown; never shortens one. */
  extend(target: string, untilMs: Millis, now: Millis): CooldownChange {
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

  /** Removes the cooldowns that expired by that time. */
  prune(endedByMs: Millis): void {
    for (const [target, { untilMs }] of this.cooldowns) {
      if (untilMs <= endedByMs) {
        this.cooldowns.delete(target);
      }
    }
  }
}
