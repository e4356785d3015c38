/** Decides whether this VM may send to a target now, and whether waiting can help. */
import {
  findEarliestCooldownEnd,
  refuseDuringCooldown,
  SLOW_START_MS,
  type TargetCooldown,
} from '@limelead/track-backpressure';
import type { TargetDirectory, TrackedServiceTarget } from '@limelead/track-service-targets';
import { runsSoftwareVersion, type Clock, type Random } from '@limelead/types';
import type { CallPlaces } from './call-places.js';
import type { SendPermits } from './send-permits.js';
import { NO_VERSION_REFUSAL, type SlotRefusal } from './slot-refusal.js';
import type { SlotRequest } from './slot-request.js';
import type { TargetNeed } from './target-placement.js';
import type { TargetBackpressure } from './target-backpressure.js';
import type { TargetGate } from './target-gate.js';

export interface TargetAvailabilityOptions {
  clock: Clock;
  random: Random;
  directory: TargetDirectory;
  /** Concurrency limit of this VM at a target, before back pressure. */
  limit: (tracked: TrackedServiceTarget) => number;
  gate: TargetGate;
  permits: SendPermits;
  places: CallPlaces;
  backpressure: TargetBackpressure;
}

/** Combines cooldowns, draining, suspicion, roll-outs, rate limits and free slots. */
export default class TargetAvailability {
  constructor(private readonly options: TargetAvailabilityOptions) {}

  /** Whether this VM has a free slot at the target. */
  hasFreeSlot(tracked: TrackedServiceTarget): boolean {
    const { clock } = this.options;
    return (
      tracked.health.fullUntilMs <= clock.now() && tracked.inFlight < this.slotLimitAt(tracked)
    );
  }

  /** Concurrency limit of this VM at the target. */
  slotLimitAt(tracked: TrackedServiceTarget): number {
    const { backpressure, limit } = this.options;
    return backpressure.limitSlots(tracked.target.id, limit(tracked));
  }

  private isCooling({ target }: TrackedServiceTarget): boolean {
    return this.options.backpressure.cooldownUntilMs(target.id) !== undefined;
  }

  /** Logs a request that waits because all targets of its service are in a cooldown. */
  reportHeld(request: SlotRequest): void {
    const { requestId, service } = request;
    const { backpressure, clock } = this.options;
    const first = findEarliestCooldownEnd(this.listCooldowns(request));
    if (first !== undefined) {
      const { target, untilMs } = first;
      backpressure.onHeld({ requestId, service, target, waitMs: untilMs - clock.now() });
    }
  }

  /**
   * Returns why the request cannot be served in time, or undefined if it can. A hedge is never
   * refused, since the first attempt may still be answered.
   */
  findRefusal(request: SlotRequest): SlotRefusal | undefined {
    const { untilMs, minServiceMs = 0, isHedge } = request;
    const { clock, random } = this.options;
    if (isHedge === true) {
      return undefined;
    }
    if (this.hasOnlyOtherVersions(request)) {
      return NO_VERSION_REFUSAL;
    }
    return refuseDuringCooldown({
      cooldowns: this.listCooldowns(request),
      untilMs: untilMs - minServiceMs,
      now: clock.now(),
      jitterMs: random.next() * SLOW_START_MS,
    });
  }

  /**
   * Whether the service has targets, and only of other versions than that to which the stream keeps.
   * Without any target the next one may be of that version.
   */
  hasOnlyOtherVersions(request: Pick<SlotRequest, 'service' | 'softwareVersion'>): boolean {
    return (
      request.softwareVersion !== undefined &&
      this.listOfVersion(request).length === 0 &&
      this.options.directory.listUsable(request.service).length > 0
    );
  }

  private listOfVersion({
    service,
    softwareVersion,
  }: Pick<SlotRequest, 'service' | 'softwareVersion'>): TrackedServiceTarget[] {
    const usable = this.options.directory.listUsable(service);
    return softwareVersion === undefined
      ? usable
      : usable.filter(({ target }) => runsSoftwareVersion(target, softwareVersion));
  }

  /** Empty while no target of any service has a cooldown, to keep the common case cheap. */
  private listCooldowns(request: SlotRequest): TargetCooldown[] {
    const { backpressure } = this.options;
    if (!backpressure.hasCooldowns) {
      return [];
    }
    return this.listOfVersion(request).map(({ target: { id } }) => ({
      target: id,
      untilMs: backpressure.cooldownUntilMs(id),
    }));
  }

  private isOpen(tracked: TrackedServiceTarget): boolean {
    return !this.options.directory.isSuspected(tracked.target.id) && this.isAllowed(tracked);
  }

  /** Whether nothing but suspicion prevents requests to the target. */
  private isAllowed(tracked: TrackedServiceTarget): boolean {
    const { target } = tracked;
    return !target.leaving && !this.isCooling(tracked) && this.options.gate.isAllowed(target);
  }

  private areAllSuspected(service: string): boolean {
    const { directory } = this.options;
    return directory.listUsable(service).every(({ target }) => directory.isSuspected(target.id));
  }

  /** Whether a target is unavailable for a reason other than its rate limit. */
  isAvoided(targetId: string): boolean {
    const tracked = this.options.directory.get(targetId);
    return tracked === undefined || !this.hasFreeSlot(tracked) || !this.isOpen(tracked);
  }

  /**
   * Whether a request may be sent to a target at which it was granted a place. The place may be one
   * beyond the target's slots, and at a suspected target if all are suspected.
   */
  canUsePlace(targetId: string, { softwareVersion, replaces }: Partial<TargetNeed> = {}): boolean {
    const { backpressure, clock, directory, limit, permits } = this.options;
    const tracked = directory.get(targetId);
    return (
      tracked !== undefined &&
      runsSoftwareVersion(tracked.target, softwareVersion) &&
      this.canReplace(tracked, replaces) &&
      tracked.health.fullUntilMs <= clock.now() &&
      tracked.inFlight < backpressure.limitSlots(targetId, limit(tracked) + 1) &&
      (this.isOpen(tracked) || this.areAllSuspected(tracked.target.service)) &&
      this.isAllowed(tracked) &&
      permits.canSend(targetId)
    );
  }

  /** Whether a target accepts such a request of this VM now; free slots are not checked. */
  isAvailable(
    tracked: TrackedServiceTarget,
    { softwareVersion, replaces }: Partial<TargetNeed> = {},
  ): boolean {
    const { permits, places } = this.options;
    const { id, service } = tracked.target;
    return (
      runsSoftwareVersion(tracked.target, softwareVersion) &&
      this.canReplace(tracked, replaces) &&
      this.isOpen(tracked) &&
      permits.canSend(id) &&
      places.canSend(service)
    );
  }

  /**
   * Targets that may be sent the request now. A target that failed the request is not retried while
   * the others only wait for permits.
   */
  listPermitted(request: SlotRequest): TrackedServiceTarget[] {
    const { service, exclude, isHedge } = request;
    const { permits, places } = this.options;
    if (!places.canSend(service)) {
      return [];
    }
    const usable = this.listUsable(request);
    if (!permits.hasLimits) {
      return usable;
    }
    const permitted = usable.filter(({ target }) => permits.canSend(target.id, isHedge));
    const hasFailed = ({ target }: TrackedServiceTarget): boolean => exclude.has(target.id);
    return permitted.every(hasFailed) && !usable.every(hasFailed) ? [] : permitted;
  }

  private listUsable(request: SlotRequest): TrackedServiceTarget[] {
    const { backpressure } = this.options;
    const { replaces } = request;
    const usable = this.listOfVersion(request).filter((tracked) =>
      this.canReplace(tracked, replaces),
    );
    return backpressure.hasCooldowns
      ? usable.filter((tracked) => !this.isCooling(tracked))
      : usable;
  }

  /** Whether a request whose silent run is at the given target, if any, is better off here. */
  private canReplace({ target, health }: TrackedServiceTarget, replaced?: string): boolean {
    // Suspicion ends after a time; a target that was lost is only known to be up once it has answered.
    const hasAnswered = health.lostAtMs === 0 || health.lastResponseAtMs > health.lostAtMs;
    return replaced === undefined || (target.id !== replaced && hasAnswered);
  }
}
