/** Whether this VM may send to a target now, and if it may not, whether waiting is of use. */
import {
  findFirstEnd,
  refuseCooling,
  SLOW_START_MS,
  type TargetCooldown,
} from '@limelead/track-backpressure';
import type { TargetDirectory, TrackedServiceTarget } from '@limelead/track-service-targets';
import type { Clock, Random } from '@limelead/types';
import type { SendPermits } from './send-permits.js';
import type { SlotRefusal } from './slot-refusal.js';
import type { SlotRequest } from './slot-request.js';
import type { TargetBackpressure } from './target-backpressure.js';
import type { TargetGate } from './target-gate.js';

/** What the answer depends on. */
export interface TargetAvailabilityOptions {
  clock: Clock;
  random: Random;
  directory: TargetDirectory;
  /** Requests of this VM that one target takes at once. */
  limit: (tracked: TrackedServiceTarget) => number;
  gate: TargetGate;
  permits: SendPermits;
  backpressure: TargetBackpressure;
}

/** Asks everything that has a say. */
export default class TargetAvailability {
  constructor(private readonly options: TargetAvailabilityOptions) {}

  /** Whether this VM has fewer requests there than it may. */
  hasRoom(tracked: TrackedServiceTarget): boolean {
    const { clock } = this.options;
    return tracked.evidence.fullUntilMs <= clock.now() && tracked.inFlight < this.slotsAt(tracked);
  }

  /** Requests that this VM may have there at once. */
  slotsAt(tracked: TrackedServiceTarget): number {
    const { backpressure, limit } = this.options;
    return backpressure.limitSlots(tracked.target.id, limit(tracked));
  }

  private isCooling({ target }: TrackedServiceTarget): boolean {
    return this.options.backpressure.coolingUntilMs(target.id) !== undefined;
  }

  /** A request waits: says so where all targets of its service cool down. */
  reportHeld({ requestId, service }: SlotRequest): void {
    const { backpressure, clock } = this.options;
    const first = findFirstEnd(this.listCooldowns(service));
    if (first !== undefined) {
      const { target, untilMs } = first;
      backpressure.onHeld({ requestId, service, target, waitMs: untilMs - clock.now() });
    }
  }

  /**
   * Why waiting is in vain; undefined where it is not. A second send beside the first waits: nothing
   * is refused while the first may be answered.
   */
  findRefusal({ service, untilMs, serviceMs = 0, isExtra }: SlotRequest): SlotRefusal | undefined {
    const { clock, random } = this.options;
    if (isExtra === true) {
      return undefined;
    }
    return refuseCooling({
      cooldowns: this.listCooldowns(service),
      untilMs: untilMs - serviceMs,
      now: clock.now(),
      spreadMs: random.next() * SLOW_START_MS,
    });
  }

  /** One for each target of a service; none while no target of any service has one. */
  private listCooldowns(service: string): TargetCooldown[] {
    const { backpressure, directory } = this.options;
    if (!backpressure.isCoolingAny) {
      return [];
    }
    return directory.listUsable(service).map(({ target: { id } }) => ({
      target: id,
      untilMs: backpressure.coolingUntilMs(id),
    }));
  }

  private isOpen(tracked: TrackedServiceTarget): boolean {
    const { directory, gate } = this.options;
    const { target } = tracked;
    const isUp = !target.leaving && !directory.isSuspected(target.id);
    return isUp && !this.isCooling(tracked) && gate.mayTake(target);
  }

  /** Whether nothing can be sent to a target now, for another reason than its limit. */
  isAvoided(targetId: string): boolean {
    const tracked = this.options.directory.get(targetId);
    return tracked === undefined || !this.hasRoom(tracked) || !this.isOpen(tracked);
  }

  /** Whether a target takes requests of this VM now, its slots aside. */
  isAvailable(tracked: TrackedServiceTarget): boolean {
    return this.isOpen(tracked) && this.options.permits.maySend(tracked.target.id);
  }

  /**
   * Targets that take work and may be sent some now. One that failed the request is no way
   * out while the others only wait for permits.
   */
  listPermitted({ service, exclude, isExtra }: SlotRequest): TrackedServiceTarget[] {
    const { permits } = this.options;
    const usable = this.listUsable(service);
    if (!permits.isLimiting) {
      return usable;
    }
    const permitted = usable.filter(({ target }) => permits.maySend(target.id, isExtra));
    const hasFailed = ({ target }: TrackedServiceTarget): boolean => exclude.has(target.id);
    return permitted.every(hasFailed) && !usable.every(hasFailed) ? [] : permitted;
  }

  private listUsable(service: string): TrackedServiceTarget[] {
    const { backpressure, directory } = this.options;
    const usable = directory.listUsable(service);
    return backpressure.isCoolingAny
      ? usable.filter((tracked) => !this.isCooling(tracked))
      : usable;
  }
}
