/** The cooldowns that targets asked this VM for with `Retry-After`. */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis, Random, Timers } from '@limelead/types';
import CooldownBook from './cooldown-book.js';
import drawCooldownEnd from './cooldown-end.js';
import rampSlots from './slow-start.js';

/** A cooldown that is over is remembered this long. */
const KEEP_ENDED_MS: Millis = 60_000;
/** Longest single timer; the runtime ends longer ones at once. */
const MAX_TIMER_MS: Millis = 3_600_000;

/** What is needed. */
export interface TargetCooldownsOptions {
  clock: Clock;
  /** Has to leave the process free to end: a cooldown may last for hours. */
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
}

/** Takes cooldowns from answers, and tells when they are over. */
export default class TargetCooldowns {
  private readonly cooldowns = new CooldownBook();
  private readonly noteCooldown: LimitedLines;
  private readonly noteCooldownOver: LimitedLines;
  private readonly noteUnreadable: LimitedLines;

  constructor(private readonly options: TargetCooldownsOptions) {
    const { clock, log, metrics } = options;
    this.noteCooldown = createLineLimit(log, clock, 'target-cooldown');
    this.noteCooldownOver = createLineLimit(log, clock, 'target-cooldown-over');
    this.noteUnreadable = createLineLimit(log, clock, 'target-cooldown-unreadable');
    metrics.gauge('limelead_cooling_targets', () => this.cooldowns.countActive(this.now));
  }

  /** A target answered. */
  onResponse({ target, requestId, directives: { cooldown } }: DirectiveResponse): void {
    if (cooldown.kind === 'unreadable') {
      this.noteUnreadable({ target, requestId, text: cooldown.text });
    } else if (cooldown.kind === 'delay' && cooldown.delayMs > 0) {
      this.extend(target, requestId, cooldown.delayMs);
    }
  }

  /** Cooldowns that are known, also some that are over. */
  get size(): number {
    return this.cooldowns.size;
  }

  /** Steady time until which a target wants nothing from this VM; undefined where it takes work. */
  activeUntilMs(target: string): Millis | undefined {
    return this.cooldowns.findActive(target, this.now)?.untilMs;
  }

  /** Requests that this VM may have at a target at once, of those that the target takes. */
  limitSlots(target: string, slots: number): number {
    const cooldown = this.cooldowns.find(target);
    return cooldown === undefined ? slots : rampSlots(slots, this.now - cooldown.untilMs);
  }

  /** When the cooldown began in which a request was sent; undefined where there was none. */
  findBeginAt(target: string, sentAtMs: Millis): Millis | undefined {
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
      this.noteCooldown({ target, requestId, outcome, requestedMs: Math.round(delayMs) });
    }
    if (outcome === 'begun') {
      this.watchEnd(target);
    }
  }

  /** Writes the line at the end, which later answers may put off. */
  private watchEnd(target: string): void {
    const { now } = this;
    const cooldown = this.cooldowns.find(target);
    if (cooldown === undefined) {
      return;
    }
    const { sinceMs, untilMs } = cooldown;
    if (untilMs <= now) {
      this.noteCooldownOver({ target, lastedMs: Math.round(untilMs - sinceMs) });
      this.options.timers.after(KEEP_ENDED_MS, () => this.prune());
      return;
    }
    this.options.timers.after(Math.min(untilMs - now, MAX_TIMER_MS), () => this.watchEnd(target));
  }

  private prune(): void {
    this.cooldowns.prune(this.now - KEEP_ENDED_MS);
  }
}
