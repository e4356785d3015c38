/** Cooldowns that targets request from this VM with `Retry-After`. */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis, Random, Timers } from '@limelead/types';
import CooldownTable from './cooldown-table.js';
import drawCooldownEnd from './cooldown-end.js';
import rampSlots from './slow-start.js';

/**
 * How long expired cooldowns are kept, for the slow start and the detection of unwanted requests.
 */
const EXPIRED_COOLDOWN_TTL_MS: Millis = 60_000;
/** Longest timer; the runtime fires timers beyond its limit at once. */
const MAX_TIMER_MS: Millis = 3_600_000;

/** Dependencies of `TargetCooldowns`. */
export interface TargetCooldownsOptions {
  clock: Clock;
  /** Must not keep the process alive, since a cooldown may last for hours. */
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
}

/** Applies requested cooldowns, and logs their start and end. */
export default class TargetCooldowns {
  private readonly cooldowns = new CooldownTable();
  private readonly logCooldown: RateLimitedLog;
  private readonly logCooldownOver: RateLimitedLog;
  private readonly logUnreadable: RateLimitedLog;

  constructor(private readonly options: TargetCooldownsOptions) {
    const { clock, log, metrics } = options;
    this.logCooldown = createRateLimitedLog(log, clock, 'target-cooldown');
    this.logCooldownOver = createRateLimitedLog(log, clock, 'target-cooldown-over');
    this.logUnreadable = createRateLimitedLog(log, clock, 'target-cooldown-unreadable');
    metrics.gauge('limelead_cooling_targets', () => this.cooldowns.countActive(this.now));
  }

  /** Applies the cooldown in a response, if there is one. */
  onResponse({ target, requestId, directives: { cooldown } }: DirectiveResponse): void {
    if (cooldown.kind === 'unreadable') {
      this.logUnreadable({ target, requestId, text: cooldown.text });
    } else if (cooldown.kind === 'delay' && cooldown.delayMs > 0) {
      this.extend(target, requestId, cooldown.delayMs);
    }
  }

  /** Number of cooldowns, including recently expired ones. */
  get size(): number {
    return this.cooldowns.size;
  }

  /** End of a target's cooldown, in steady time; undefined without one. */
  activeUntilMs(target: string): Millis | undefined {
    return this.cooldowns.findActive(target, this.now)?.untilMs;
  }

  /** Concurrency limit at a target, reduced during the slow start. */
  limitSlots(target: string, slots: number): number {
    const cooldown = this.cooldowns.find(target);
    return cooldown === undefined ? slots : rampSlots(slots, this.now - cooldown.untilMs);
  }

  /** Start of the cooldown that was in force at the given time; undefined if there was none. */
  findStartOfActiveAt(target: string, sentAtMs: Millis): Millis | undefined {
    const cooldown = this.cooldowns.find(target);
    return cooldown !== undefined && cooldown.untilMs > sentAtMs ? cooldown.sinceMs : undefined;
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private extend(target: string, requestId: string, delayMs: Millis): void {
    const { now } = this;
    const untilMs = drawCooldownEnd(delayMs, now, this.options.random);
    const outcome = this.cooldowns.extend(target, untilMs, now);
    this.options.metrics.count('limelead_cooldowns_total', 1, { outcome });
    if (outcome !== 'covered') {
      this.logCooldown({ target, requestId, outcome, requestedMs: Math.round(delayMs) });
    }
    if (outcome === 'begun') {
      this.watchEnd(target);
    }
  }

  /** Logs the end of a cooldown, which later responses may postpone. */
  private watchEnd(target: string): void {
    const { now } = this;
    const cooldown = this.cooldowns.find(target);
    if (cooldown === undefined) {
      return;
    }
    const { sinceMs, untilMs } = cooldown;
    if (untilMs <= now) {
      this.logCooldownOver({ target, lastedMs: Math.round(untilMs - sinceMs) });
      this.options.timers.after(EXPIRED_COOLDOWN_TTL_MS, () => this.prune());
      return;
    }
    this.options.timers.after(Math.min(untilMs - now, MAX_TIMER_MS), () => this.watchEnd(target));
  }

  private prune(): void {
    this.cooldowns.prune(this.now - EXPIRED_COOLDOWN_TTL_MS);
  }
}
