/**
 * Tracks the sizes of other regions. An unreachable region continues to spend its part of shared
 * quotas, such as the retry budget, and therefore counts with its last size.
 */
import type { Clock, Millis } from '@limelead/types';
import type { VmWithRegion } from './plan-fleet.js';

/**
 * Time in milliseconds for which a shrinking region keeps its size, since the VMs of a region that
 * becomes unreachable expire one by one, 24 s after the last message of each.
 */
const SHRINK_HOLD_MS = 30_000;

/** A region became reachable, or all its VMs became unreachable. */
export interface RegionChange {
  region: string;
  isReachable: boolean;
  /** VMs of the region, or the last known number if it is unreachable. */
  vms: number;
}

/** An unreachable region, as VMs report it to each other, so that a restarted VM learns of it. */
export interface UnreachableRegion {
  region: string;
  vms: number;
  /** Milliseconds since the region had that many VMs. */
  ageMs: Millis;
}

interface RegionSize {
  vms: number;
  /** Time at which the region last had that many VMs. */
  atMs: Millis;
  isReachable: boolean;
}

/** Remembers the number of VMs of each other region. */
export default class RegionSizeTracker {
  private readonly sizes = new Map<string, RegionSize>();

  constructor(
    private readonly clock: Clock,
    private readonly onChange: (change: RegionChange) => void,
  ) {}

  /**
   * Updates the sizes from the known VMs of other regions.
   * @returns the number of VMs that are unreachable
   */
  update(otherRegionVms: readonly VmWithRegion[]): number {
    const counts = new Map<string, number>();
    for (const { region } of otherRegionVms) {
      if (region !== undefined) {
        counts.set(region, (counts.get(region) ?? 0) + 1);
      }
    }
    counts.forEach((vms, region) => this.updateSize(region, vms));
    let total = 0;
    this.sizes.forEach((size, region) => {
      this.updateReachability(region, size, counts.has(region));
      total += size.vms;
    });
    return Math.max(0, total - otherRegionVms.length);
  }

  /** The unreachable regions. */
  listUnreachable(): UnreachableRegion[] {
    const now = this.clock.now();
    return [...this.sizes]
      .filter(([, { isReachable }]) => !isReachable)
      .map(([region, { vms, atMs }]) => ({ region, vms, ageMs: Math.round(now - atMs) }));
  }

  /** Records a region that another VM reports as unreachable; the newest report wins. */
  recordUnreachable({ region, vms, ageMs }: UnreachableRegion): void {
    const atMs = this.clock.now() - Math.max(0, ageMs);
    const size = this.sizes.get(region);
    if (size === undefined || (!size.isReachable && atMs > size.atMs)) {
      this.sizes.set(region, { vms, atMs, isReachable: false });
    }
  }

  private updateSize(region: string, vms: number): void {
    const atMs = this.clock.now();
    const size = this.sizes.get(region);
    if (size === undefined || vms >= size.vms || atMs - size.atMs >= SHRINK_HOLD_MS) {
      this.sizes.set(region, { vms, atMs, isReachable: size?.isReachable ?? false });
    }
  }

  private updateReachability(region: string, size: RegionSize, isReachable: boolean): void {
    if (size.isReachable !== isReachable) {
      size.isReachable = isReachable;
      this.onChange({ region, isReachable, vms: size.vms });
    }
  }
}
