/** Takes what targets ask for in their answers, and answers whether this VM may send to them. */
import { createLineLimit, type LimitedLines } from '@limelead/decision-log';
import type { DirectiveResponse, Millis } from '@limelead/types';
import type { LeavingFact } from './leaving-book.js';
import LeavingTargets, { type LeavingTargetsOptions } from './leaving-targets.js';
import TargetCooldowns, { type TargetCooldownsOptions } from './target-cooldowns.js';

/** Requests that cross the answer which asks for something are no fault. */
const CROSSING_MS: Millis = 50;

/** What is needed. */
export type BackpressureOptions = TargetCooldownsOptions & LeavingTargetsOptions;

/** What a target asked for and did not get. */
type Directive = 'cooldown' | 'leaving';

/** A request that waits until a target's cooldown is over. */
export interface HeldRequest {
  requestId: string;
  service: string;
  /** The target whose cooldown ends first, and the time until then. */
  target: string;
  waitMs: Millis;
}

/** One VM's view of what targets ask for. */
export default class Backpressure {
  private readonly cooldowns: TargetCooldowns;
  private readonly leaving: LeavingTargets;
  private readonly noteUnwanted: LimitedLines;
  private readonly noteHeld: LimitedLines;

  constructor(private readonly options: BackpressureOptions) {
    const { clock, log } = options;
    this.cooldowns = new TargetCooldowns(options);
    this.leaving = new LeavingTargets(options);
    this.noteUnwanted = createLineLimit(log, clock, 'unwanted-send');
    this.noteHeld = createLineLimit(log, clock, 'held-for-cooldown');
  }

  /** A target answered. */
  onResponse(response: DirectiveResponse): void {
    this.checkSend(response);
    this.cooldowns.onResponse(response);
    this.leaving.onResponse(response);
  }

  /** Another VM told which targets leave. */
  onPeerUpdate(vm: string, facts: LeavingFact[]): void {
    this.leaving.onPeerUpdate(vm, facts);
  }

  /** All targets that leave, for a VM that has just met this one. */
  listLeaving(): LeavingFact[] {
    return this.leaving.list();
  }

  /** Whether an incarnation said that it leaves, whatever its entry says. */
  isLeaving(target: string): boolean {
    return this.leaving.knownSinceMs(target) !== undefined;
  }

  /** Whether any target has a cooldown, or had one a minute ago. */
  get isCoolingAny(): boolean {
    return this.cooldowns.size > 0;
  }

  /** Steady time until which a target wants nothing from this VM; undefined where it takes work. */
  coolingUntilMs(target: string): Millis | undefined {
    return this.cooldowns.activeUntilMs(target);
  }

  /** Requests that this VM may have at a target at once, of those that the target takes. */
  limitSlots(target: string, slots: number): number {
    return this.cooldowns.limitSlots(target, slots);
  }

  /** A request waits, since all targets of its service have cooldowns. */
  onHeld({ waitMs, ...request }: HeldRequest): void {
    this.options.metrics.count('limelead_held_for_cooldown_total');
    this.noteHeld({ ...request, waitMs: Math.round(waitMs) });
  }

  /** An answer shows what a target got although it had asked this VM not to send. */
  private checkSend(response: DirectiveResponse): void {
    const { target, sentAtMs } = response;
    this.reportUnwanted('cooldown', response, this.cooldowns.findBeginAt(target, sentAtMs));
    this.reportUnwanted('leaving', response, this.leaving.knownSinceMs(target));
  }

  private reportUnwanted(
    directive: Directive,
    { target, requestId, sentAtMs }: DirectiveResponse,
    sinceMs: Millis | undefined,
  ): void {
    if (sinceMs === undefined || sentAtMs <= sinceMs + CROSSING_MS) {
      return;
    }
    this.options.metrics.count('limelead_unwanted_sends_total', 1, { directive });
    this.noteUnwanted({
      requestId,
      target,
      directive,
      sentAfterMs: Math.round(sentAtMs - sinceMs),
    });
  }
}
