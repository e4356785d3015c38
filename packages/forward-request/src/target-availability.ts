/** Whether this VM may send to a target now, and if it may not, whether waiting is of use. */
import { refuseCooling, SLOW_START_MS } from '@limelead/track-backpressure';
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
import type { SlotQueueOptions, SlotRequest } from './slot-queue.js';
import type { SlotRefusal } from './slot-refusal.js';

/** What the answer depends on. */
export type TargetAvailabilityOptions = Pick<
  SlotQueueOptions,
  'backpressure' | 'clock' | 'directory' | 'gate' | 'limit' | 'permits' | 'random'
>;

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

  /** Whether nothing of a service takes requests from this VM for a while. */
  isAllCooling(service: string): boolean {
    return this.options.directory.listUsable(service).every((tracked) => this.isCooling(tracked));
  }

  /**
   * Why waiting is in vain; undefined where it is not. A second send beside the first waits: nothing
   * is refused while the first may be answered.
   */
  findRefusal({ service, untilMs, serviceMs = 0, isExtra }: SlotRequest): SlotRefusal | undefined {
    const { backpressure, clock, directory, random } = this.options;
    if (isExtra === true) {
      return undefined;
    }
    return refuseCooling({
      endsMs: directory
        .listUsable(service)
        .map(({ target }) => backpressure.coolingUntilMs(target.id)),
      untilMs: untilMs - serviceMs,
      now: clock.now(),
      spreadMs: random.next() * SLOW_START_MS,
    });
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
    const { directory, permits } = this.options;
    const usable = directory.listUsable(service).filter((tracked) => !this.isCooling(tracked));
    if (!permits.isLimiting) {
      return usable;
    }
    const permitted = usable.filter(({ target }) => permits.maySend(target.id, isExtra));
    const hasFailed = ({ target }: TrackedServiceTarget): boolean => exclude.has(target.id);
    return permitted.every(hasFailed) && !usable.every(hasFailed) ? [] : permitted;
  }
}
