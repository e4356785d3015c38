/** Until when each target wants nothing from this VM. */
import type { Millis } from '@limelead/types';

/** A span in which a target wants nothing from this VM. */
export interface Cooldown {
  sinceMs: Millis;
  untilMs: Millis;
}

/** What a request for a cooldown did; one that ends sooner than the present one changes nothing. */
export type CooldownOutcome = 'begun' | 'prolonged' | 'covered';

/** Holds the last cooldown of each target, also where it is over. */
export default class CooldownBook {
  private readonly cooldowns = new Map<string, Cooldown>();

  get size(): number {
    return this.cooldowns.size;
  }

  /** The last cooldown of a target. */
  find(target: string): Cooldown | undefined {
    return this.cooldowns.get(target);
  }

  /** The cooldown of a target that is in force now. */
  findActive(target: string, now: Millis): Cooldown | undefined {
    const cooldown = this.cooldowns.get(target);
    return cooldown !== undefined && cooldown.untilMs > now ? cooldown : undefined;
  }

  /** Targets whose cooldowns are in force now. */
  countActive(now: Millis): number {
    return [...this.cooldowns.values()].filter(({ untilMs }) => untilMs > now).length;
  }

  /** A target asked for a cooldown that ends at that time. */
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

  /** Forgets the cooldowns that ended by that time. */
  prune(endedByMs: Millis): void {
    for (const [target, { untilMs }] of this.cooldowns) {
      if (untilMs <= endedByMs) {
        this.cooldowns.delete(target);
      }
    }
  }
}
