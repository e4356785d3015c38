/** Takes what targets ask for in their answers, and answers whether this VM may send to them. */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type {
  Clock,
  DirectiveResponse,
  Millis,
  Random,
  TargetDirectives,
  Timers,
} from '@limelead/types';
import CooldownBook, { type Cooldown } from './cooldown-book.js';
import drawCooldownEnd from './cooldown-end.js';
import rampSlots from './slow-start.js';

/** Requests that cross the answer which begins a cooldown are no fault. */
const CROSSING_MS: Millis = 50;
/** A cooldown that is over is remembered this long. */
const KEEP_ENDED_MS: Millis = 60_000;
/** Longest single timer; the runtime ends longer ones at once. */
const MAX_TIMER_MS: Millis = 3_600_000;

/** What is needed. */
export interface BackpressureOptions {
  clock: Clock;
  /** Has to leave the process free to end: a cooldown may last for hours. */
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
}

/** A request that waits until a target's cooldown is over. */
export interface HeldRequest {
  requestId: string;
  service: string;
}

/** One VM's view of what targets ask for. */
export default class Backpressure {
  private readonly cooldowns = new CooldownBook();
  private readonly noteCooldown: LimitedLines;
  private readonly noteCooldownOver: LimitedLines;
  private readonly noteUnreadable: LimitedLines;
  private readonly noteUnwanted: LimitedLines;
  private readonly noteHeld: LimitedLines;

  constructor(private readonly options: BackpressureOptions) {
    const { clock, log, metrics } = options;
    this.noteCooldown = createLineLimit(log, clock, 'target-cooldown');
    this.noteCooldownOver = createLineLimit(log, clock, 'target-cooldown-over');
    this.noteUnreadable = createLineLimit(log, clock, 'target-cooldown-unreadable');
    this.noteUnwanted = createLineLimit(log, clock, 'unwanted-send');
    this.noteHeld = createLineLimit(log, clock, 'held-for-cooldown');
    metrics.gauge('limelead_cooling_targets', () => this.cooldowns.countActive(this.now));
  }

  /** A target answered. */
  onResponse(response: DirectiveResponse): void {
    this.checkSend(response);
    this.takeCooldown(response, response.directives.cooldown);
  }

  /** Steady time until which a target wants nothing from this VM; undefined where it takes work. */
  coolingUntilMs(target: string): Millis | undefined {
    return this.cooldowns.findActive(target, this.now)?.untilMs;
  }

  /** Requests that this VM may have at a target at once, of those that the target takes. */
  limitSlots(target: string, slots: number): number {
    const cooldown = this.cooldowns.find(target);
    return cooldown === undefined ? slots : rampSlots(slots, this.now - cooldown.untilMs);
  }

  /** A request waits, since all targets of its service have cooldowns. */
  onHeld({ requestId, service }: HeldRequest): void {
    this.options.metrics.count('limelead_held_for_cooldown_total');
    this.noteHeld({ requestId, service });
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private takeCooldown(
    { target, requestId }: DirectiveResponse,
    cooldown: TargetDirectives['cooldown'],
  ): void {
    if (cooldown.kind === 'unreadable') {
      this.noteUnreadable({ target, requestId, text: cooldown.text });
    } else if (cooldown.kind === 'delay' && cooldown.delayMs > 0) {
      this.extendCooldown(target, requestId, cooldown.delayMs);
    }
  }

  private extendCooldown(target: string, requestId: string, delayMs: Millis): void {
    const { now } = this;
    const untilMs = drawCooldownEnd(delayMs, now, this.options.random);
    const outcome = this.cooldowns.extend(target, untilMs, now);
    this.cooldowns.prune(now - KEEP_ENDED_MS);
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
      return;
    }
    this.options.timers.after(Math.min(untilMs - now, MAX_TIMER_MS), () => this.watchEnd(target));
  }

  /** A target that answers a request from its cooldown was sent something that it did not want. */
  private checkSend({ target, requestId, sentAtMs }: DirectiveResponse): void {
    const cooldown = this.cooldowns.find(target);
    if (cooldown !== undefined && isWithin(cooldown, sentAtMs)) {
      const sentAfterMs = Math.round(sentAtMs - cooldown.sinceMs);
      this.options.metrics.count('limelead_unwanted_sends_total', 1, { directive: 'cooldown' });
      this.noteUnwanted({ requestId, target, directive: 'cooldown', sentAfterMs });
    }
  }
}

function isWithin({ sinceMs, untilMs }: Cooldown, sentAtMs: Millis): boolean {
  return sentAtMs > sinceMs + CROSSING_MS && sentAtMs < untilMs;
}
