/**
 * Which VMs there are, as one of them sees it, and what follows from it: the links
 * that it keeps, whether it is one of those that follow the store for all, and which
 * VMs are asked where streams go.
 */
import type { PeerLinks } from '@limelead/peer-links';
import { rankVms } from '@limelead/track-members';
import type { Clock, Random } from '@limelead/types';
import { FULL_MESH_VMS } from './choose-peers.js';
import chooseSchedulers, { type Schedulers } from './choose-schedulers.js';
import DutyCandidates from './duty-candidates.js';
import LinkUpkeep from './link-upkeep.js';
import MemberBook, { type MemberAge } from './member-book.js';
import type { PeerId } from './types.js';

/**
 * VMs of a large fleet that follow the store for all. Several, so that all but one
 * may be stopped, cut off or killed at once before the others have to ask themselves.
 */
const FOLLOWERS = 4;

/** What a membership needs. */
export interface MembershipOptions {
  self: PeerId;
  seeds: PeerId[];
  links: Pick<PeerLinks<never>, 'open' | 'opened' | 'drop' | 'linked'>;
  clock: Clock;
  random: Random;
}

/** Follows the members, round by round. */
export default class Membership {
  private readonly book: MemberBook;
  private readonly upkeep: LinkUpkeep;
  /** As of the last round. */
  private isChosen = true;
  /** By part of the targets, as of the last round; none in a small fleet. */
  private chosenSchedulers: Schedulers = [];
  private readonly candidates: DutyCandidates;

  constructor(private readonly options: MembershipOptions) {
    const { self, seeds, links, clock, random } = options;
    this.book = new MemberBook(self, clock, random);
    this.candidates = new DutyCandidates(self, clock);
    this.upkeep = new LinkUpkeep(self, seeds, links);
  }

  /** VMs that are believed to run, this one included. */
  get count(): number {
    return this.book.count;
  }

  /** Whether a few VMs follow the store for all; a small fleet asks it directly. */
  get isLarge(): boolean {
    return this.count >= FULL_MESH_VMS;
  }

  /** VMs that ask the store themselves while news of it spread as they should. */
  get followerCount(): number {
    return this.isLarge ? FOLLOWERS : this.count;
  }

  /** Whether others rely on this VM to follow the store. */
  get followsForOthers(): boolean {
    return this.isLarge && this.isChosen;
  }

  /** The VMs that are asked where streams go, by part of the targets; none in a small fleet. */
  get schedulers(): Schedulers {
    return this.chosenSchedulers;
  }

  /** The VMs that stand for duties of one VM at a time; none before the first round. */
  get dutyCandidates(): readonly PeerId[] {
    return this.candidates.list;
  }

  /** Whether this VM chose a peer for gossip. */
  isChosenPeer(peer: PeerId): boolean {
    return this.upkeep.isChosen(peer);
  }

  /** A peer spoke just now. */
  hearFrom(peer: PeerId): void {
    this.book.hearFrom(peer);
  }

  /** A peer named other VMs; a small fleet grows together at once. */
  hear(members: MemberAge[]): void {
    members.forEach((member) => this.book.hear(member));
    if (!this.isLarge) {
      this.upkeep.open(this.book.list());
    }
  }

  /** One round: links and followers are chosen anew. Gives the members to name to all peers. */
  tend(): MemberAge[] {
    const { self, links } = this.options;
    const members = this.book.list();
    const ranking = rankVms([...members, self]);
    this.isChosen = ranking.slice(0, FOLLOWERS).includes(self);
    this.chosenSchedulers = this.isLarge ? chooseSchedulers(ranking) : [];
    this.candidates.choose(ranking, this.chosenSchedulers, links.linked());
    const wanted = new Set([...this.chosenSchedulers.flat(), ...this.candidates.list]);
    wanted.delete(self);
    this.upkeep.tend(members, this.isLarge ? [...wanted] : []);
    return this.book.sample();
  }

  /** Every member, to name to a peer that was just linked. */
  nameAll(): MemberAge[] {
    return this.book.nameAll();
  }
}
