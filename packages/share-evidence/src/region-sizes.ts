/**
 * VMs that share what each VM owns a part of, such as the retry budget. A region that
 * can't be reached goes on spending its parts; it counts with the VMs that it had.
 */
import type { Clock, Millis } from '@limelead/types';
import type { LocatedVm } from './plan-fleet.js';

/**
 * Time in which a region that shrinks is taken to be vanishing, in milliseconds: its VMs
 * are forgotten one by one, 12 s after each spoke, and none of them came back.
 */
const VANISHING_MS = 30_000;

/** A region came into sight, or all its VMs went out of it. */
export interface RegionNotice {
  region: string;
  isInSight: boolean;
  /** VMs that it has, or had before it went. */
  vms: number;
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

  /** Takes the VMs of other regions that are known now. */
  note(distant: readonly LocatedVm[]): void {
    const counts = new Map<string, number>();
    for (const { region } of distant) {
      if (region !== undefined) {
        counts.set(region, (counts.get(region) ?? 0) + 1);
      }
    }
    counts.forEach((vms, region) => this.noteRegion(region, vms));
    this.sizes.forEach((size, region) => this.noteSight(region, size, counts.has(region)));
  }

  /** VMs that run out of sight, as far as this one has to expect. */
  countHidden(distant: readonly LocatedVm[]): number {
    let held = 0;
    this.sizes.forEach(({ vms }) => (held += vms));
    return Math.max(0, held - distant.length);
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
