/**
 * Maintains the links of one VM to the peers that it chose. The choice changes as VMs learn of each
 * other; links that are no longer chosen are closed, so that a starting fleet does not become a
 * full mesh.
 */
import type { PeerAddress, PeerLinks } from '@limelead/peer-links';
import { hashText } from '@limelead/types';
import chooseGossipPeers, { LARGE_FLEET_VMS } from './choose-gossip-peers.js';
import type { PeerId } from './types.js';

/** Consecutive rounds without being chosen after which a link is closed. */
const UNWANTED_ROUNDS = 3;
/** Rounds after the start in which links to all seeds are kept. */
const SEED_ROUNDS = 5;
/**
 * Round from which a VM of a large fleet links to VMs other than the seeds. Before it too few
 * members are known to place this VM in the ring.
 */
const FIRST_RING_ROUND = 2;
/** Rounds between two links to a seed, by which separated groups of VMs find each other again. */
const ROUNDS_BETWEEN_SEEDS = 20;

/** VMs of other regions. */
export interface OtherRegions {
  /**
   * All known VMs of other regions. Seeds among them are not linked again, since gossip from their
   * region arrives over bridges.
   */
  otherRegionVms: ReadonlySet<PeerId>;
  /** VMs of other regions with which gossip is shared. */
  bridges: readonly PeerId[];
}

const NO_OTHER_REGIONS: OtherRegions = { otherRegionVms: new Set(), bridges: [] };

/** Opens links to chosen peers and closes those that are no longer chosen. */
export default class GossipLinkManager {
  /** Links that this VM opened, with the number of rounds since they were last chosen. */
  private readonly unwantedRounds = new Map<PeerId, number>();
  private rounds = 0;
  /** Peers that were last chosen for gossip. */
  private chosen: ReadonlySet<PeerId>;
  private readonly phase: number;

  constructor(
    private readonly self: PeerId,
    private readonly seeds: PeerId[],
    private readonly links: Pick<
      PeerLinks<never>,
      'open' | 'listOpened' | 'disconnect' | 'listLinked'
    >,
  ) {
    this.phase = hashText(self) % ROUNDS_BETWEEN_SEEDS;
    this.chosen = new Set(seeds);
  }

  /** Whether a peer was chosen for gossip in the last round. */
  isChosenPeer(peer: PeerId): boolean {
    return this.chosen.has(peer);
  }

  /** Chooses peers for gossip and opens the missing links to them. */
  openGossipLinks(members: readonly PeerId[], otherRegions: OtherRegions = NO_OTHER_REGIONS): void {
    const chosen = this.choose(members, otherRegions);
    this.chosen = new Set(chosen);
    this.links.open(toAddresses(chosen));
  }

  /**
   * Runs one round: opens missing links and closes those that were not chosen for some rounds.
   * @param members VMs of the own region
   * @param schedulers VMs to which a link is kept in addition to those for gossip
   */
  runRound(
    members: readonly PeerId[],
    schedulers: readonly PeerId[] = [],
    otherRegions: OtherRegions = NO_OTHER_REGIONS,
  ): void {
    this.rounds += 1;
    this.openGossipLinks(members, otherRegions);
    this.links.open(toAddresses(schedulers));
    const wanted = new Set([...this.chosen, ...schedulers]);
    const opened = this.links.listOpened();
    for (const peer of opened) {
      const rounds = wanted.has(peer) ? 0 : (this.unwantedRounds.get(peer) ?? 0) + 1;
      this.unwantedRounds.set(peer, rounds);
      if (rounds >= UNWANTED_ROUNDS) {
        this.links.disconnect(peer);
      }
    }
    this.forgetExcept(new Set(opened));
  }

  private choose(members: readonly PeerId[], { otherRegionVms, bridges }: OtherRegions): PeerId[] {
    const known = members.length + otherRegionVms.size;
    const isStarting = known >= LARGE_FLEET_VMS && this.rounds < FIRST_RING_ROUND;
    const peers = isStarting ? [] : [...chooseGossipPeers(this.self, members), ...bridges];
    const isIsolated = this.links.listLinked().length === 0;
    return [
      ...peers,
      ...this.chooseSeedsToLink().filter((seed) => isIsolated || !otherRegionVms.has(seed)),
    ];
  }

  /**
   * Returns the seeds to link to, whether or not they are members: all of them while no link is up,
   * and later one at a time. The phase differs by VM, so that VMs that started together do not link
   * to a seed at the same time.
   */
  private chooseSeedsToLink(): PeerId[] {
    if (this.rounds <= SEED_ROUNDS || this.links.listLinked().length === 0) {
      return this.seeds;
    }
    const turn = this.rounds + this.phase;
    const seed = this.seeds[Math.floor(turn / ROUNDS_BETWEEN_SEEDS) % this.seeds.length];
    return turn % ROUNDS_BETWEEN_SEEDS === 0 && seed !== undefined ? [seed] : [];
  }

  private forgetExcept(opened: ReadonlySet<PeerId>): void {
    for (const peer of [...this.unwantedRounds.keys()]) {
      if (!opened.has(peer)) {
        this.unwantedRounds.delete(peer);
      }
    }
  }
}

function toAddresses(peers: readonly PeerId[]): PeerAddress[] {
  return peers.map(toAddress).filter(({ port }) => port > 0);
}

function toAddress(id: PeerId): PeerAddress {
  const colon = id.lastIndexOf(':');
  return { id, host: id.slice(0, colon), port: Number(id.slice(colon + 1)) || 0 };
}
