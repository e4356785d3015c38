/**
 * Derives the role and the links of one VM from the members of the fleet. In a fleet of several
 * regions, gossip and schedulers are local to each region; bridges and sums of load connect the
 * regions.
 */
import { rankVms } from '@limelead/track-members';
import { LARGE_FLEET_VMS } from './choose-gossip-peers.js';
import chooseBridges from './choose-bridges.js';
import chooseStoreFollowers from './choose-store-followers.js';
import chooseSchedulers, { type SchedulersByPartition } from './choose-schedulers.js';
import type { PeerId } from './types.js';

/** A VM with its region. */
export interface VmWithRegion {
  id: PeerId;
  /** Undefined if the fleet has one region or the region is not known yet. */
  region: string | undefined;
}

/** Role and links of one VM. */
export interface FleetPlan {
  /** Whether a few VMs follow the store for all, and schedulers advise where streams go. */
  isLarge: boolean;
  /** Other VMs of the own region; all other VMs in a small fleet or a fleet of one region. */
  sameRegionVms: readonly PeerId[];
  /** VMs of other regions. */
  otherRegionVms: ReadonlySet<PeerId>;
  /** VMs of other regions with which gossip is shared. */
  bridges: readonly PeerId[];
  /** VMs that follow the store for all, if the fleet is large. */
  followers: readonly PeerId[];
  /** Schedulers of the own region by partition of the targets. */
  schedulers: SchedulersByPartition;
  /** Schedulers of other regions to which this VM sends load; empty unless it is a scheduler. */
  remoteSchedulers: readonly PeerId[];
  /** All VMs in the order that all VMs share. */
  ranking: readonly PeerId[];
  /**
   * Schedulers chosen from the whole fleet, the same for all VMs; they are the candidates for
   * duties.
   */
  fleetWideSchedulers: SchedulersByPartition;
}

/** Plan of a VM that knows no other. */
export const SINGLE_VM_PLAN: FleetPlan = {
  isLarge: false,
  sameRegionVms: [],
  otherRegionVms: new Set(),
  bridges: [],
  followers: [],
  schedulers: [],
  remoteSchedulers: [],
  ranking: [],
  fleetWideSchedulers: [],
};

/** Plans for one VM; `others` does not include it. */
export default function planFleet(self: VmWithRegion, others: readonly VmWithRegion[]): FleetPlan {
  const ranking = rankVms([...others.map(({ id }) => id), self.id]);
  if (others.length + 1 < LARGE_FLEET_VMS) {
    const sameRegionVms = others.map(({ id }) => id);
    const followers = chooseStoreFollowers(ranking, [ranking]);
    return { ...SINGLE_VM_PLAN, sameRegionVms, followers, ranking };
  }
  const regions = groupByRegion(self, others, ranking);
  const ownRegion = regions.get(self.region) ?? [];
  const otherRegions = [...regions].flatMap(([region, vms]) =>
    region === self.region ? [] : [vms],
  );
  const schedulers = chooseSchedulers(ownRegion);
  const remoteSchedulers = otherRegions.flatMap((vms) => chooseSchedulers(vms).flat());
  return {
    isLarge: true,
    sameRegionVms: ownRegion.filter((id) => id !== self.id),
    otherRegionVms: new Set(otherRegions.flat()),
    bridges: chooseBridges(self.id, ownRegion, otherRegions),
    followers: chooseStoreFollowers(ranking, [...regions.values()]),
    schedulers,
    remoteSchedulers: schedulers.flat().includes(self.id) ? remoteSchedulers : [],
    ranking,
    fleetWideSchedulers: otherRegions.length === 0 ? schedulers : chooseSchedulers(ranking),
  };
}

/**
 * A VM with an unknown region counts as one of the own region: it runs an older release or has just
 * started.
 */
function groupByRegion(
  self: VmWithRegion,
  others: readonly VmWithRegion[],
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
