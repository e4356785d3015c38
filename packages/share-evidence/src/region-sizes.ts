/**
 * VMs that share what each VM owns a part of, such as the retry budget. A region that
 * can't be reached goes on spending its parts; it counts with the VMs that it had.
 */
import type { Clock, Millis } from '@limelead/types';
import type { LocatedVm } from './plan-fleet.js';

/**
 * Time in which a region that shrinks is taken to be vanishing, in milliseconds: its VMs
 * are forgotten one by one, 24 s after each spoke, and none of them came back.
 */
const VANISHING_MS = 30_000;

/** A region came into sight, or all its VMs went out of it. */
export interface RegionNotice {
  region: string;
  isInSight: boolean;
  /** VMs that it has, or had before it went. */
  vms: number;
}

/** A region that is out of sight, as VMs tell each other, or one of them would forget it by a restart. */
export interface HiddenRegion {
  region: string;
  vms: number;
  /** Milliseconds since it had so many. */
  ageMs: Millis;
}

interface RegionSize {
  vms: number;
  /** When the region last had so many VMs. */
  atMs: Millis;
  isInSight: boolean;
}

/** Remembers how many VMs the other regions have. */
export default class RegionSizes {
  private readonly sizes = new Map<string, RegionSize>();

  constructor(
    private readonly clock: Clock,
    private readonly onNotice: (notice: RegionNotice) => void,
  ) {}

  /** Takes the VMs of other regions that are known now; gives how many more run out of sight. */
  note(distant: readonly LocatedVm[]): number {
    const counts = new Map<string, number>();
    for (const { region } of distant) {
      if (region !== undefined) {
        counts.set(region, (counts.get(region) ?? 0) + 1);
      }
    }
    counts.forEach((vms, region) => this.noteRegion(region, vms));
    let held = 0;
    this.sizes.forEach((size, region) => {
      this.noteSight(region, size, counts.has(region));
      held += size.vms;
    });
    return Math.max(0, held - distant.length);
  }

  /** The regions that are out of sight. */
  listHidden(): HiddenRegion[] {
    const now = this.clock.now();
    return [...this.sizes]
      .filter(([, { isInSight }]) => !isInSight)
      .map(([region, { vms, atMs }]) => ({ region, vms, ageMs: Math.round(now - atMs) }));
  }

  /** Another VM tells of a region that it can't see; the newest word counts. */
  hear({ region, vms, ageMs }: HiddenRegion): void {
    const atMs = this.clock.now() - Math.max(0, ageMs);
    const size = this.sizes.get(region);
    if (size === undefined || (!size.isInSight && atMs > size.atMs)) {
      this.sizes.set(region, { vms, atMs, isInSight: false });
    }
  }

  private noteRegion(region: string, vms: number): void {
    const atMs = this.clock.now();
    const size = this.sizes.get(region);
    if (size === undefined || vms >= size.vms || atMs - size.atMs >= VANISHING_MS) {
      this.sizes.set(region, { vms, atMs, isInSight: size?.isInSight ?? false });
    }
  }

  private noteSight(region: string, size: RegionSize, isInSight: boolean): void {
    if (size.isInSight !== isInSight) {
      size.isInSight = isInSight;
      this.onNotice({ region, isInSight, vms: size.vms });
    }
  }
}
