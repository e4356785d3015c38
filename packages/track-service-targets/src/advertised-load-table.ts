/**
 * Load and pace that targets state in their responses. They change many times per second, so each
 * statement holds for a short time only; otherwise the counts of the VMs and measured slowness hold.
 */
import type { Clock, Millis, StatedLoad } from '@limelead/types';
import { getSlowness } from './target-health.js';
import type { TrackedServiceTarget } from './tracked-target.js';

/** Age up to which a stated load is used, in milliseconds. */
const LOAD_TTL_MS: Millis = 300;
/** Percent of the usual duration up to which the pace counts as usual, so that sessions keep their target. */
const USUAL_PACE_PERCENT = 120;
const WHOLE_PERCENT = 100;

interface RecordedLoad extends Required<StatedLoad> {
  /** Requests there beyond the counted ones; negative if it has fewer. */
  uncounted: number;
  atMs: Millis;
}

/** The latest stated load of each target. */
export default class AdvertisedLoadTable {
  private readonly loads = new Map<string, RecordedLoad>();

  constructor(private readonly clock: Clock) {}

  /** Records a stated load, and its difference from the requests that are known now. */
  record(tracked: TrackedServiceTarget, load: Required<StatedLoad>): void {
    const uncounted = load.running + load.waiting - countRequests(tracked);
    this.loads.set(tracked.target.id, { ...load, uncounted, atMs: this.clock.now() });
  }

  /**
   * Expected requests of all VMs at a target. Requests beyond its stated slots count twice, since
   * they wait for a whole request first.
   */
  requestsAt(tracked: TrackedServiceTarget): number {
    const counted = countRequests(tracked);
    const load = this.find(tracked.target.id);
    if (load === undefined) {
      return counted;
    }
    const requests = Math.max(tracked.inFlight, counted + load.uncounted);
    return requests + Math.max(0, requests - load.slots);
  }

  /** Present duration of work at a target as a multiple of the usual one, at least 1. */
  paceOf(tracked: TrackedServiceTarget): number {
    const load = this.find(tracked.target.id);
    if (load === undefined) {
      return getSlowness(tracked.health, this.clock.now());
    }
    return load.pacePercent <= USUAL_PACE_PERCENT ? 1 : load.pacePercent / WHOLE_PERCENT;
  }

  /** Drops the load of a removed target. */
  forget(target: string): void {
    this.loads.delete(target);
  }

  private find(target: string): RecordedLoad | undefined {
    const load = this.loads.get(target);
    const isFresh = load !== undefined && this.clock.now() - load.atMs <= LOAD_TTL_MS;
    return isFresh ? load : undefined;
  }
}

function countRequests({ inFlight, peerRequests }: TrackedServiceTarget): number {
  return inFlight + peerRequests;
}
