/**
 * Which VMs there are, as one of them sees it, and what follows from it: the links
 * that it keeps, whether it is one of those that follow the store for all, and which
 * VMs are asked where streams go.
 */
import type { PeerLinks } from '@limelead/peer-links';
import type { Clock, Millis, Random } from '@limelead/types';
import { FULL_MESH_VMS } from './choose-peers.js';
import { LEAST_FOLLOWERS } from './choose-followers.js';
import type { Schedulers } from './choose-schedulers.js';
import DutyCandidates from './duty-candidates.js';
import LinkUpkeep from './link-upkeep.js';
import MemberBook, { type MemberAge } from './member-book.js';
import planFleet, { LONE_PLAN, type FleetPlan, type LocatedVm } from './plan-fleet.js';
import RegionSizes, { type HiddenRegion, type RegionNotice } from './region-sizes.js';
import type { PeerId } from './types.js';

/**
 * A VM of which nobody heard for this long decides nothing for others. Each speaks about once a second,
 * and what one hears is passed on in the next.
 */
const SPEAKS_WITHIN_MS: Millis = 2_500;

/** What a membership needs. */
export interface MembershipOptions {
  self: PeerId;
  /** Region of this VM; undefined where the fleet is in one. */
  region: string | undefined;
  seeds: PeerId[];
  links: Pick<PeerLinks<never>, 'open' | 'opened' | 'drop' | 'linked'>;
  clock: Clock;
  random: Random;
  /** Another region came into sight, or went out of it. */
  onRegion(notice: RegionNotice): void;
}

/** Follows the members, round by round. */
export default class Membership {
  private readonly book: MemberBook;
  private readonly upkeep: LinkUpkeep;
  private readonly sizes: RegionSizes;
  /** As of the last round; before the first, a VM of a large fleet is taken for a follower. */
  private plan: FleetPlan;
  /** VMs that run out of sight, as of the last round. */
  private hiddenVms = 0;
  private readonly candidates: DutyCandidates;

  constructor(private readonly options: MembershipOptions) {
    const { self, region, seeds, links, clock, random } = options;
    this.book = new MemberBook(self, clock, random, region);
    this.candidates = new DutyCandidates(self, clock);
    this.upkeep = new LinkUpkeep(self, seeds, links);
    this.sizes = new RegionSizes(clock, options.onRegion);
    this.plan = { ...LONE_PLAN, followers: [self] };
  }

  /** VMs that are believed to run, this one included. */
  get count(): number {
    return this.book.count;
  }

  /**
   * VMs that share the retry budget: those of a region that can't be reached go on
   * spending, and three regions that lose each other would spend three budgets.
   */
  get budgetCount(): number {
    return this.count + this.hiddenVms;
  }

  /** Whether a few VMs follow the store for all; a small fleet asks it directly. */
  get isLarge(): boolean {
    return this.count >= FULL_MESH_VMS;
  }

  /** VMs that ask the store themselves while news of it spread as they should. */
  get followerCount(): number {
    return this.isLarge ? Math.max(LEAST_FOLLOWERS, this.plan.followers.length) : this.count;
  }

  /** Whether others rely on this VM to follow the store. */
  get followsForOthers(): boolean {
    return this.isLarge && this.plan.followers.includes(this.options.self);
  }

  /** VMs of the own region that are asked where streams go, by part of the targets; none in a small fleet. */
  get schedulers(): Schedulers {
    return this.plan.schedulers;
  }

  /** VMs of other regions that this one, a scheduler, tells the load of its region. */
  get loadReaders(): readonly PeerId[] {
    return this.plan.loadReaders;
  }

  /** The VMs that stand for duties of one VM at a time; none before the first round. */
  get dutyCandidates(): readonly PeerId[] {
    return this.candidates.list;
  }

  /** VMs one of which decides for all: those that spoke lately, in a large fleet those that stand for duties. */
  listDeciders(): PeerId[] {
    const { self } = this.options;
    return this.isLarge
      ? [...this.candidates.list]
      : [self, ...this.book.listSpoken(SPEAKS_WITHIN_MS)];
  }

  /** Since when this VM has no links to most of the others that it knows; undefined where it has. */
  get cutOffSinceMs(): Millis | undefined {
    return this.candidates.cutOffSinceMs;
  }

  /** Whether this VM chose a peer for gossip. */
  isChosenPeer(peer: PeerId): boolean {
    return this.upkeep.isChosen(peer);
  }

  /** Whether a peer is in another region. */
  isDistant(peer: PeerId): boolean {
    return this.plan.distant.has(peer);
  }

  /** A peer spoke just now. */
  hearFrom(peer: PeerId): void {
    this.book.hearFrom(peer);
  }

  /** A peer turned out to belong to another fleet. */
  forget(peer: PeerId): void {
    this.book.forget(peer);
  }

  /** A peer told its own region; undefined where it knows none. */
  locate(peer: PeerId, region: string | undefined): void {
    if (region !== undefined) {
      this.book.locate(peer, region);
    }
  }

  /** Regions that this VM can't see. */
  listHidden(): HiddenRegion[] {
    return this.sizes.listHidden();
  }

  /** A peer named other VMs, and regions that it can't see; a small fleet grows together at once. */
  hear(members: MemberAge[], hidden: readonly HiddenRegion[] = []): void {
    hidden
      .filter(({ region }) => region !== this.options.region)
      .forEach((region) => this.sizes.hear(region));
    members.forEach((member) => this.book.hear(member));
    if (!this.isLarge) {
      this.upkeep.open(this.book.list());
    }
  }

  /** One round: links and followers are chosen anew. Gives the members to name to all peers. */
  tend(): MemberAge[] {
    const { self, region, links } = this.options;
    const members = this.book.listLocated();
    this.hiddenVms = this.sizes.note(this.listDistant(members));
    this.plan = planFleet({ id: self, region }, members);
    const { isLarge, near, schedulers, loadReaders, ranking, fleetSchedulers } = this.plan;
    this.candidates.choose(ranking, fleetSchedulers, links.linked());
    const wanted = new Set([...schedulers.flat(), ...loadReaders, ...this.candidates.list]);
    wanted.delete(self);
    this.upkeep.tend(near, isLarge ? [...wanted] : [], this.plan);
    return this.book.sample();
  }

  /** Every member, to name to a peer that was just linked. */
  nameAll(): MemberAge[] {
    return this.book.nameAll();
  }

  /** Every member of the own region, to name to a peer in another; none where the fleet is in one. */
  nameRegion(): MemberAge[] {
    const { region } = this.options;
    return region === undefined ? [] : this.book.nameRegion(region);
  }

  private listDistant(members: readonly LocatedVm[]): LocatedVm[] {
    const { region } = this.options;
    return region === undefined
      ? []
      : members.filter((member) => member.region !== undefined && member.region !== region);
  }
}
