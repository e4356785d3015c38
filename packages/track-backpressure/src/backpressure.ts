/** Takes what targets ask for in their answers, and answers whether this VM may send to them. */
import { createLineLimit, type DecisionLog, type LimitedLines } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis, TargetDirectives } from '@limelead/types';
import CooldownBook, { type Cooldown } from './cooldown-book.js';

/** Requests that cross the answer which begins a cooldown are no fault. */
const CROSSING_MS: Millis = 50;
/** A cooldown that is over is remembered this long. */
const KEEP_ENDED_MS: Millis = 60_000;

/** What is needed. */
export interface BackpressureOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
}

/** One VM's view of what targets ask for. */
export default class Backpressure {
  private readonly cooldowns = new CooldownBook();
  private readonly noteCooldown: LimitedLines;
  private readonly noteUnreadable: LimitedLines;
  private readonly noteUnwanted: LimitedLines;

  constructor(private readonly options: BackpressureOptions) {
    const { clock, log, metrics } = options;
    this.noteCooldown = createLineLimit(log, clock, 'target-cooldown');
    this.noteUnreadable = createLineLimit(log, clock, 'target-cooldown-unreadable');
    this.noteUnwanted = createLineLimit(log, clock, 'unwanted-send');
    metrics.gauge('limelead_cooling_targets', () => this.cooldowns.countActive(this.now));
  }

  /** A target answered. */
  onResponse(response: DirectiveResponse): void {
    this.checkSend(response);
    this.takeCooldown(response, response.directives.cooldown);
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
      this.beginCooldown(target, requestId, cooldown.delayMs);
    }
  }

  private beginCooldown(target: string, requestId: string, delayMs: Millis): void {
    const { now } = this;
    const outcome = this.cooldowns.extend(target, now + delayMs, now);
    this.cooldowns.prune(now - KEEP_ENDED_MS);
    this.options.metrics.count('limelead_cooldowns_total', 1, { outcome });
    if (outcome !== 'covered') {
      this.noteCooldown({ target, requestId, outcome, requestedMs: Math.round(delayMs) });
    }
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
