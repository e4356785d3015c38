/** The load of all VMs of a region, as sums that the schedulers of other regions are told. */
import type { Millis, Timers } from '@limelead/types';
import type { PeerId, TargetLoad } from './types.js';

/**
 * Changes of load within this time are told together, in milliseconds. Other regions need
 * them only to send work there: a tenth of a run is soon enough.
 */
const GATHER_MS: Millis = 500;
const NO_LOAD = '[]';

/** Load by target in columns, a fifth of the bytes of one object for each target. */
export interface RegionLoadColumns {
  targets: string[];
  requests: number[];
  reading: number[];
  copies: number[];
  /** The highest that any VM told. */
  slowness: number[];
}

/** What the sums need. */
export interface RegionLoadOptions {
  timers: Timers;
  /** The load of this VM that counts. */
  readOwnLoad(): TargetLoad[];
  /** Schedulers of other regions that this VM tells, of those that are linked now. */
  listReaders(): PeerId[];
  tell(peers: PeerId[], load: RegionLoadColumns): void;
}

/** Adds up what the VMs of this region told, and tells other regions. */
export default class RegionLoad {
  private readonly loads = new Map<PeerId, readonly TargetLoad[]>();
  /** The sums that each reader was told last, as text to compare with. */
  private readonly told = new Map<PeerId, string>();
  private isDue = false;

  constructor(private readonly options: RegionLoadOptions) {}

  /** A VM of the region has this load; none once it is lost. */
  take(peer: PeerId, load: readonly TargetLoad[]): void {
    if (load.length === 0) {
      this.loads.delete(peer);
    } else {
      this.loads.set(peer, load);
    }
    this.note();
  }

  /** The load changed; the readers are told soon. */
  note(): void {
    if (this.isDue || (this.told.size === 0 && this.options.listReaders().length === 0)) {
      return;
    }
    this.isDue = true;
    this.options.timers.after(GATHER_MS, () => {
      this.isDue = false;
      this.tellAll();
    });
  }

  /** A reader is lost; one that comes back knows nothing. */
  forget(reader: PeerId): void {
    this.told.delete(reader);
  }

  /** Tells the readers that know other sums, and takes them back from those that are none any more. */
  tellAll(): void {
    const readers = this.options.listReaders();
    const former = [...this.told.keys()].filter((peer) => !readers.includes(peer));
    this.tellNew(former, []);
    former.forEach((peer) => this.told.delete(peer));
    if (readers.length > 0) {
      this.tellNew(readers, this.sum());
    }
  }

  private tellNew(peers: PeerId[], sums: TargetLoad[]): void {
    const text = JSON.stringify(sums);
    const unaware = peers.filter((peer) => (this.told.get(peer) ?? NO_LOAD) !== text);
    if (unaware.length > 0) {
      unaware.forEach((peer) => this.told.set(peer, text));
      this.options.tell(unaware, toColumns(sums));
    }
  }

  private sum(): TargetLoad[] {
    const sums = new Map<string, TargetLoad>();
    for (const load of [this.options.readOwnLoad(), ...this.loads.values()].flat()) {
      const sum = sums.get(load.id);
      sums.set(load.id, sum === undefined ? load : addLoads(sum, load));
    }
    return [...sums.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  }
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

function toColumns(loads: readonly TargetLoad[]): RegionLoadColumns {
  return {
    targets: loads.map(({ id }) => id),
    requests: loads.map(({ requests }) => requests),
    reading: loads.map(({ reading }) => reading),
    copies: loads.map(({ copies }) => copies),
    slowness: loads.map(({ slowness }) => slowness),
  };
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
