/**
 * Pure decision: what follows for one VM from the VMs that there are. Gossip and
 * schedulers are of the own region, where the fleet is in several; a few bridges and
 * sums of load join the regions.
 */
import { rankVms } from '@limelead/track-members';
import { FULL_MESH_VMS } from './choose-peers.js';
import chooseBridges from './choose-bridges.js';
import chooseFollowers from './choose-followers.js';
import chooseSchedulers, { type Schedulers } from './choose-schedulers.js';
import type { PeerId } from './types.js';

/** A VM, with its region. */
export interface LocatedVm {
  id: PeerId;
  /** Undefined where the fleet is in one region, and where nobody told it yet. */
  region: string | undefined;
}

/** What one VM does with which others. */
export interface FleetPlan {
  /** A few VMs follow the store for all, and some are asked where streams go. */
  isLarge: boolean;
  /** Other VMs of the own region, or all where the fleet is small or in one region. */
  near: readonly PeerId[];
  /** VMs of other regions. */
  distant: ReadonlySet<PeerId>;
  /** Those of them with which gossip is shared. */
  bridges: readonly PeerId[];
  /** VMs that follow the store for all, where the fleet is large. */
  followers: readonly PeerId[];
  /** VMs of the own region that are asked where streams go, by part of the targets. */
  schedulers: Schedulers;
  /** VMs of other regions that are told the load of this one; empty but for a scheduler. */
  loadReaders: readonly PeerId[];
  /** All VMs, in the order that they share. */
  ranking: readonly PeerId[];
  /** The schedulers that the whole fleet would have, the same for all VMs; they stand for duties. */
  fleetSchedulers: Schedulers;
}

/** What a VM does that knows no other. */
export const LONE_PLAN: FleetPlan = {
  isLarge: false,
  near: [],
  distant: new Set(),
  bridges: [],
  followers: [],
  schedulers: [],
  loadReaders: [],
  ranking: [],
  fleetSchedulers: [],
};

/** Plans for one VM, which the others do not include. */
export default function planFleet(self: LocatedVm, others: readonly LocatedVm[]): FleetPlan {
  const ranking = rankVms([...others.map(({ id }) => id), self.id]);
  if (others.length + 1 < FULL_MESH_VMS) {
    const near = others.map(({ id }) => id);
    const followers = chooseFollowers(ranking, [ranking]);
    return { ...LONE_PLAN, near, followers, ranking };
  }
  const regions = groupByRegion(self, others, ranking);
  const own = regions.get(self.region) ?? [];
  const elsewhere = [...regions].flatMap(([region, vms]) => (region === self.region ? [] : [vms]));
  const schedulers = chooseSchedulers(own);
  const readers = elsewhere.flatMap((vms) => chooseSchedulers(vms).flat());
  return {
    isLarge: true,
    near: own.filter((id) => id !== self.id),
    distant: new Set(elsewhere.flat()),
    bridges: chooseBridges(self.id, own, elsewhere),
    followers: chooseFollowers(ranking, [...regions.values()]),
    schedulers,
    loadReaders: schedulers.flat().includes(self.id) ? readers : [],
    ranking,
    fleetSchedulers: elsewhere.length === 0 ? schedulers : chooseSchedulers(ranking),
  };
}

/** A VM whose region nobody told counts as near: it runs an older release, or just came up. */
function groupByRegion(
  self: LocatedVm,
  others: readonly LocatedVm[],
  ranking: readonly PeerId[],
): Map<string | undefined, PeerId[]> {
  const regionOf = new Map(others.map(({ id, region }) => [id, region]));
  const regions = new Map<string | undefined, PeerId[]>();
  for (const id of ranking) {
    const region = self.region === undefined ? undefined : (regionOf.get(id) ?? self.region);
    const vms = regions.get(region) ?? [];
    vms.push(id);
    regions.set(region, vms);
  }
  return regions;
}
