/**
 * Tracks the members of the fleet as one VM sees them, and derives its links, the VMs that follow
 * the store, the schedulers and the candidates for duties.
 */
import type { PeerLinks } from '@limelead/peer-links';
import type { Clock, Millis, Random } from '@limelead/types';
import { LARGE_FLEET_VMS } from './choose-gossip-peers.js';
import { MIN_FOLLOWERS } from './choose-store-followers.js';
import type { SchedulersByPartition } from './choose-schedulers.js';
import DutyCandidateTracker from './duty-candidate-tracker.js';
import GossipLinkManager from './gossip-link-manager.js';
import MemberRegistry, { type GossipedMember } from './member-registry.js';
import planFleet, { SINGLE_VM_PLAN, type FleetPlan, type VmWithRegion } from './plan-fleet.js';
import RegionSizeTracker, {
  type UnreachableRegion,
  type RegionChange,
} from './region-size-tracker.js';
import type { PeerId } from './types.js';

/**
 * Maximum age of a member that may become a grantor. Each VM sends about one message per second,
 * and peers forward it in the next.
 */
const ACTIVE_WITHIN_MS: Millis = 2_500;

/** Dependencies of `Membership`. */
export interface MembershipOptions {
  self: PeerId;
  /** Region of this VM; undefined if the fleet has one region. */
  region: string | undefined;
  seeds: PeerId[];
  links: Pick<PeerLinks<never>, 'open' | 'listOpened' | 'disconnect' | 'listLinked'>;
  clock: Clock;
  random: Random;
  /** Another region became reachable or unreachable. */
  onRegionChange(notice: RegionChange): void;
}

/** Updates members, links and roles in each round. */
export default class Membership {
  private readonly registry: MemberRegistry;
  private readonly linkManager: GossipLinkManager;
  private readonly regionSizes: RegionSizeTracker;
  /** Plan of the last round; before the first one this VM counts as a follower of the store. */
  private plan: FleetPlan;
  /** Number of VMs in unreachable regions, as of the last round. */
  private unreachableVms = 0;
  private readonly candidates: DutyCandidateTracker;

  constructor(private readonly options: MembershipOptions) {
    const { self, region, seeds, links, clock, random } = options;
    this.registry = new MemberRegistry(self, clock, random, region);
    this.candidates = new DutyCandidateTracker(self, clock);
    this.linkManager = new GossipLinkManager(self, seeds, links);
    this.regionSizes = new RegionSizeTracker(clock, options.onRegionChange);
    this.plan = { ...SINGLE_VM_PLAN, followers: [self] };
  }

  /** Number of known VMs that have not expired, including this one. */
  get count(): number {
    return this.registry.count;
  }

  /**
   * Number of VMs including those of unreachable regions, which continue to spend their part of the
   * retry budget. Otherwise three regions that lose each other would spend three budgets.
   */
  get totalVmCount(): number {
    return this.count + this.unreachableVms;
  }

  /** Whether a few VMs follow the store for all; in a small fleet every VM does. */
  get isLargeFleet(): boolean {
    return this.count >= LARGE_FLEET_VMS;
  }

  /** Number of VMs that follow the store themselves while its updates arrive in time. */
  get storeFollowerCount(): number {
    return this.isLargeFleet ? Math.max(MIN_FOLLOWERS, this.plan.followers.length) : this.count;
  }

  /** Whether other VMs rely on this one to follow the store. */
  get isStoreFollower(): boolean {
    return this.isLargeFleet && this.plan.followers.includes(this.options.self);
  }

  /** Schedulers of the own region by partition of the targets; empty in a small fleet. */
  get schedulers(): SchedulersByPartition {
    return this.plan.schedulers;
  }

  /**
   * Schedulers of other regions to which this VM sends the load of its region; empty unless it is a
   * scheduler.
   */
  get remoteSchedulers(): readonly PeerId[] {
    return this.plan.remoteSchedulers;
  }

  /** Candidates for duties that one VM at a time performs; empty before the first round. */
  get dutyCandidates(): readonly PeerId[] {
    return this.candidates.list;
  }

  /**
   * VMs from which the grantors of permits are chosen: the duty candidates of a large fleet, or
   * else all recently active VMs.
   */
  listGrantorCandidates(): PeerId[] {
    const { self } = this.options;
    return this.isLargeFleet
      ? [...this.candidates.list]
      : [self, ...this.registry.listActive(ACTIVE_WITHIN_MS)];
  }

  /**
   * Time since which this VM has no links to most of the VMs that it knows; undefined if it has.
   */
  get isolatedSinceMs(): Millis | undefined {
    return this.candidates.isolatedSinceMs;
  }

  /** Whether this VM chose a peer for gossip. */
  isChosenPeer(peer: PeerId): boolean {
    return this.linkManager.isChosenPeer(peer);
  }

  /** Whether a peer is in another region. */
  isInOtherRegion(peer: PeerId): boolean {
    return this.plan.otherRegionVms.has(peer);
  }

  /** Records a message of a peer. */
  recordContact(peer: PeerId): void {
    this.registry.recordContact(peer);
  }

  /** Removes a peer that belongs to another fleet. */
  remove(peer: PeerId): void {
    this.registry.remove(peer);
  }

  /** Sets the region that a peer reports of itself; undefined if it reports none. */
  setRegion(peer: PeerId, region: string | undefined): void {
    if (region !== undefined) {
      this.registry.setRegion(peer, region);
    }
  }

  /** Regions that this VM cannot reach. */
  listUnreachableRegions(): UnreachableRegion[] {
    return this.regionSizes.listUnreachable();
  }

  /**
   * Records the members and unreachable regions that a peer reported. A small fleet opens links at
   * once.
   */
  onMembersReceived(
    members: GossipedMember[],
    unreachable: readonly UnreachableRegion[] = [],
  ): void {
    unreachable
      .filter(({ region }) => region !== this.options.region)
      .forEach((region) => this.regionSizes.recordUnreachable(region));
    members.forEach((member) => this.registry.recordMember(member));
    if (!this.isLargeFleet) {
      this.linkManager.openGossipLinks(this.registry.list());
    }
  }

  /**
   * Runs one round: updates the plan and the links.
   * @returns the members for the heartbeats of this round
   */
  runRound(): GossipedMember[] {
    const { self, region, links } = this.options;
    const members = this.registry.listWithRegions();
    this.unreachableVms = this.regionSizes.update(this.listOtherRegionVms(members));
    this.plan = planFleet({ id: self, region }, members);
    const { isLarge, sameRegionVms, schedulers, remoteSchedulers, ranking, fleetWideSchedulers } =
      this.plan;
    this.candidates.update(ranking, fleetWideSchedulers, links.listLinked());
    const wanted = new Set([...schedulers.flat(), ...remoteSchedulers, ...this.candidates.list]);
    wanted.delete(self);
    this.linkManager.runRound(sameRegionVms, isLarge ? [...wanted] : [], this.plan);
    return this.registry.sample();
  }

  /** All members, for a newly linked peer. */
  listAllMembers(): GossipedMember[] {
    return this.registry.listRecent();
  }

  /**
   * All members of the own region, for a peer in another region; empty if the fleet has one region.
   */
  listRegionMembers(): GossipedMember[] {
    const { region } = this.options;
    return region === undefined ? [] : this.registry.listRecentOfRegion(region);
  }

  private listOtherRegionVms(members: readonly VmWithRegion[]): VmWithRegion[] {
    const { region } = this.options;
    return region === undefined
      ? []
      : members.filter((member) => member.region !== undefined && member.region !== region);
  }
}
