/** Backpressure that targets signal in their answers, and what it means for sends of this VM. */
import { createRateLimitedLog, type RateLimitedLog } from '@limelead/decision-log';
import type { DirectiveResponse, Millis } from '@limelead/types';
import type { LeavingFact } from './leaving-book.js';
import LeavingTargets, { type LeavingTargetsOptions } from './leaving-targets.js';
import TargetCooldowns, { type TargetCooldownsOptions } from './target-cooldowns.js';

/** Requests already in flight when the directive arrives are not counted as unwanted. */
const CROSSING_MS: Millis = 50;

/** Dependencies of the backpressure. */
export type BackpressureOptions = TargetCooldownsOptions & LeavingTargetsOptions;

/** A directive that a send ignored. */
type Directive = 'cooldown' | 'leaving';

/** A request that waits for the end of a cooldown. */
export interface HeldRequest {
  requestId: string;
  service: string;
  /** The target whose cooldown ends first, and the time until then. */
  target: string;
  waitMs: Millis;
}

/** Tracks the directives of all targets, as one VM knows them. */
export default class Backpressure {
  private readonly cooldowns: TargetCooldowns;
  private readonly leaving: LeavingTargets;
  private readonly noteUnwanted: RateLimitedLog;
  private readonly noteHeld: RateLimitedLog;

  constructor(private readonly options: BackpressureOptions) {
    const { clock, log } = options;
    this.cooldowns = new TargetCooldowns(options);
    this.leaving = new LeavingTargets(options);
    this.noteUnwanted = createRateLimitedLog(log, clock, 'unwanted-send');
    this.noteHeld = createRateLimitedLog(log, clock, 'held-for-cooldown');
  }

  /** An answer arrived. */
  onResponse(response: DirectiveResponse): void {
    this.checkSend(response);
    this.cooldowns.onResponse(response);
    this.leaving.onResponse(response);
  }

  /** A peer published leaving targets. */
  onPeerUpdate(vm: string, facts: LeavingFact[]): void {
    this.leaving.onPeerUpdate(vm, facts);
  }

  /** All leaving targets, for a newly linked peer. */
  listLeaving(): LeavingFact[] {
    return this.leaving.list();
  }

  /** Whether an incarnation announced that it leaves, regardless of its registry entry. */
  isLeaving(target: string): boolean {
    return this.leaving.knownSinceMs(target) !== undefined;
  }

  /** Whether any target is in a cooldown, or left one in the last minute. */
  get isCoolingAny(): boolean {
    return this.cooldowns.size > 0;
  }

  /** End of a target's cooldown for this VM, in steady time; undefined where there is none. */
  coolingUntilMs(target: string): Millis | undefined {
    return this.cooldowns.activeUntilMs(target);
  }

  /** Concurrency limit at a target, reduced during the slow start after a cooldown. */
  limitSlots(target: string, slots: number): number {
    return this.cooldowns.limitSlots(target, slots);
  }

  /** A request waits because all targets of its service are in a cooldown. */
  onHeld({ waitMs, ...request }: HeldRequest): void {
    this.options.metrics.count('limelead_held_for_cooldown_total');
    this.noteHeld({ ...request, waitMs: Math.round(waitMs) });
  }

  /** Reports sends that violated a directive which was in force when they began. */
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
