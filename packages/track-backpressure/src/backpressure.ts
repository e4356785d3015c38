/**
 * Back pressure that targets signal in their responses, and its effect on the requests of this VM.
 */
import { createRateLimitedLog, type RateLimitedLog } from '@limelead/decision-log';
import type { DirectiveResponse, Millis } from '@limelead/types';
import BrittleTargets, {
  type BrittleTargetsOptions,
  type BrittleUpdate,
} from './brittle-targets.js';
import type { LeavingUpdate } from './leaving-table.js';
import LeavingTargets, { type LeavingTargetsOptions } from './leaving-targets.js';
import LoadReader, { type LoadReaderOptions } from './load-reader.js';
import TargetCooldowns, { type TargetCooldownsOptions } from './target-cooldowns.js';

/**
 * A request sent this shortly after a directive arrived was already in flight and is not reported
 * as unwanted.
 */
const IN_FLIGHT_TOLERANCE_MS: Millis = 50;

/** Dependencies of `Backpressure`. */
export type BackpressureOptions = TargetCooldownsOptions &
  LeavingTargetsOptions &
  LoadReaderOptions &
  BrittleTargetsOptions;

/** A directive that a request violated. */
type Directive = 'cooldown' | 'leaving';

/** A request that waits for the end of a cooldown. */
export interface HeldRequest {
  requestId: string;
  service: string;
  /** The target whose cooldown ends first, and the time until then. */
  target: string;
  waitMs: Millis;
}

/** Tracks the directives of all targets that this VM knows of. */
export default class Backpressure {
  private readonly cooldowns: TargetCooldowns;
  private readonly leaving: LeavingTargets;
  private readonly loads: LoadReader;
  private readonly brittle: BrittleTargets;
  private readonly logUnwanted: RateLimitedLog;
  private readonly logHeld: RateLimitedLog;

  constructor(private readonly options: BackpressureOptions) {
    const { clock, log } = options;
    this.cooldowns = new TargetCooldowns(options);
    this.leaving = new LeavingTargets(options);
    this.loads = new LoadReader(options);
    this.brittle = new BrittleTargets(options);
    this.logUnwanted = createRateLimitedLog(log, clock, 'unwanted-send');
    this.logHeld = createRateLimitedLog(log, clock, 'held-for-cooldown');
  }

  /** Applies the directives of a response, and reports it if its request violated one. */
  onResponse(response: DirectiveResponse): void {
    this.checkSend(response);
    this.cooldowns.onResponse(response);
    this.leaving.onResponse(response);
    this.loads.onResponse(response);
    this.brittle.onResponse(response);
  }

  /** Applies leaving announcements of a peer. */
  onPeerUpdate(vm: string, updates: LeavingUpdate[]): void {
    this.leaving.onPeerUpdate(vm, updates);
  }

  /** Applies what targets told a peer, or what it heard from others. */
  onPeerBrittle(vm: string, updates: BrittleUpdate[]): void {
    this.brittle.onPeerUpdate(vm, updates);
  }

  /** All brittle targets, for a newly linked peer. */
  listBrittle(): BrittleUpdate[] {
    return this.brittle.list();
  }

  /** Rejections a second that a target survives; undefined if it is not brittle. */
  rejectionsPerSecond(target: string): number | undefined {
    return this.brittle.rejectionsPerSecond(target);
  }

  /** All leaving targets, for a newly linked peer. */
  listLeaving(): LeavingUpdate[] {
    return this.leaving.list();
  }

  /** Whether an incarnation announced that it leaves; independent of its registry entry. */
  isLeaving(target: string): boolean {
    return this.leaving.knownSinceMs(target) !== undefined;
  }

  /** Whether any target is in a cooldown or left one in the last minute. */
  get hasCooldowns(): boolean {
    return this.cooldowns.size > 0;
  }

  /** End of a target's cooldown for this VM, in steady time; undefined without one. */
  cooldownUntilMs(target: string): Millis | undefined {
    return this.cooldowns.activeUntilMs(target);
  }

  /** Concurrency limit at a target, reduced during the slow start after a cooldown. */
  limitSlots(target: string, slots: number): number {
    return this.cooldowns.limitSlots(target, slots);
  }

  /** Reports a request that waits because all targets of its service are in a cooldown. */
  onHeld({ waitMs, ...request }: HeldRequest): void {
    this.options.metrics.count('limelead_held_for_cooldown_total');
    this.logHeld({ ...request, waitMs: Math.round(waitMs) });
  }

  /** Reports a request that violated a directive in force when it was sent. */
  private checkSend(response: DirectiveResponse): void {
    const { target, sentAtMs } = response;
    this.reportUnwanted('cooldown', response, this.cooldowns.findStartOfActiveAt(target, sentAtMs));
    this.reportUnwanted('leaving', response, this.leaving.knownSinceMs(target));
  }

  private reportUnwanted(
    directive: Directive,
    { target, requestId, sentAtMs }: DirectiveResponse,
    sinceMs: Millis | undefined,
  ): void {
    if (sinceMs === undefined || sentAtMs <= sinceMs + IN_FLIGHT_TOLERANCE_MS) {
      return;
    }
    this.options.metrics.count('limelead_unwanted_sends_total', 1, { directive });
    this.logUnwanted({
      requestId,
      target,
      directive,
      sentAfterMs: Math.round(sentAtMs - sinceMs),
    });
  }
}
