/** The load of all VMs of a region, as sums that the schedulers of other regions are told. */
import type { PeerId, TargetLoad } from './types.js';

/** Load by target in columns, a fifth of the bytes of one object for each target. */
export interface RegionLoadColumns {
  targets: string[];
  requests: number[];
  reading: number[];
  copies: number[];
  /** The highest that any VM told. */
  slowness: number[];
}

/** Adds up what the VMs of this region told. */
export default class RegionLoad {
  private readonly told = new Map<PeerId, readonly TargetLoad[]>();

  /** A VM of the region has this load; none once it is lost. */
  take(peer: PeerId, load: readonly TargetLoad[]): void {
    if (load.length === 0) {
      this.told.delete(peer);
    } else {
      this.told.set(peer, load);
    }
  }

  /** The sums, with the load of this VM itself. */
  sum(own: readonly TargetLoad[]): TargetLoad[] {
    const sums = new Map<string, TargetLoad>();
    for (const load of [own, ...this.told.values()].flat()) {
      const sum = sums.get(load.id);
      sums.set(load.id, sum === undefined ? load : addLoads(sum, load));
    }
    return [...sums.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  }
}

/** Gives the columns of some loads. */
export function toColumns(loads: readonly TargetLoad[]): RegionLoadColumns {
  return {
    targets: loads.map(({ id }) => id),
    requests: loads.map(({ requests }) => requests),
    reading: loads.map(({ reading }) => reading),
    copies: loads.map(({ copies }) => copies),
    slowness: loads.map(({ slowness }) => slowness),
  };
}

/** Gives the loads of some columns. */
export function fromColumns(columns: RegionLoadColumns): TargetLoad[] {
  return columns.targets.map((id, index) => ({
    id,
    requests: columns.requests[index] ?? 0,
    reading: columns.reading[index] ?? 0,
    copies: columns.copies[index] ?? 0,
    slowness: columns.slowness[index] ?? 1,
  }));
}

function addLoads(a: TargetLoad, b: TargetLoad): TargetLoad {
  return {
    id: a.id,
    requests: a.requests + b.requests,
    reading: a.reading + b.reading,
    copies: a.copies + b.copies,
    slowness: Math.max(a.slowness, b.slowness),
  };
}
