/**
 * Keeps the links of one VM to the peers that it chose. As VMs hear of each other
 * the choice changes; a link that is no longer wanted is closed after a while, or
 * a fleet that starts would end as a full mesh.
 */
import type { PeerAddress, PeerLinks } from '@limelead/peer-links';
import { hashText } from '@limelead/types';
import choosePeers, { FULL_MESH_VMS } from './choose-peers.js';
import type { PeerId } from './types.js';

/** Rounds in a row in which a link was not chosen before it is closed. */
const UNWANTED_ROUNDS = 3;
/** Rounds at the start in which links to the seeds are wanted. */
const FIRST_ROUNDS = 5;
/**
 * Round from which on a VM of a large fleet links to others than the seeds. The
 * first rounds are for hearing of them: a ring of the few that are known is wrong.
 */
const FIRST_RING_ROUND = 2;
/** One of the seeds is met again this often, so that groups of VMs that lost each other join. */
const ROUNDS_BETWEEN_SEEDS = 20;

/** VMs of other regions. */
export interface DistantVms {
  /** All that are known; a seed among them need not be met, since its region is heard of. */
  distant: ReadonlySet<PeerId>;
  /** Those with which gossip is shared. */
  bridges: readonly PeerId[];
}

const NO_DISTANT_VMS: DistantVms = { distant: new Set(), bridges: [] };

/** Opens and closes links. */
export default class LinkUpkeep {
  /** Links that this VM opened, with the rounds since they were last chosen. */
  private readonly unwantedRounds = new Map<PeerId, number>();
  private rounds = 0;
  /** Peers that were chosen for gossip last. */
  private chosen: ReadonlySet<PeerId>;
  private readonly phase: number;

  constructor(
    private readonly self: PeerId,
    private readonly seeds: PeerId[],
    private readonly links: Pick<PeerLinks<never>, 'open' | 'opened' | 'drop' | 'linked'>,
  ) {
    this.phase = hashText(self) % ROUNDS_BETWEEN_SEEDS;
    this.chosen = new Set(seeds);
  }

  /** Whether a peer was chosen for gossip last. */
  isChosen(peer: PeerId): boolean {
    return this.chosen.has(peer);
  }

  /** Chooses peers for gossip, and opens the links to them that are missing. */
  open(members: readonly PeerId[], distant: DistantVms = NO_DISTANT_VMS): void {
    const chosen = this.choose(members, distant);
    this.chosen = new Set(chosen);
    this.links.open(toAddresses(chosen));
  }

  /**
   * One round: opens what is missing and closes what was not chosen for some rounds.
   * @param members VMs of the own region
   * @param schedulers VMs to which a link is kept beside those for gossip
   */
  tend(
    members: readonly PeerId[],
    schedulers: readonly PeerId[] = [],
    distant: DistantVms = NO_DISTANT_VMS,
  ): void {
    this.rounds += 1;
    this.open(members, distant);
    this.links.open(toAddresses(schedulers));
    const wanted = new Set([...this.chosen, ...schedulers]);
    const opened = this.links.opened();
    for (const peer of opened) {
      const rounds = wanted.has(peer) ? 0 : (this.unwantedRounds.get(peer) ?? 0) + 1;
      this.unwantedRounds.set(peer, rounds);
      if (rounds >= UNWANTED_ROUNDS) {
        this.links.drop(peer);
      }
    }
    this.forgetExcept(new Set(opened));
  }

  private choose(members: readonly PeerId[], { distant, bridges }: DistantVms): PeerId[] {
    const known = members.length + distant.size;
    const isTooEarly = known >= FULL_MESH_VMS && this.rounds < FIRST_RING_ROUND;
    const peers = isTooEarly ? [] : [...choosePeers(this.self, members), ...bridges];
    const isAlone = this.links.linked().length === 0;
    return [...peers, ...this.chooseSeeds().filter((seed) => isAlone || !distant.has(seed))];
  }

  /**
   * The seeds that are wanted, whatever place they have among the members: all
   * while this VM knows nobody, and one by turns later. VMs that started together
   * meet theirs at different times, or a seed would have to take them all at once.
   */
  private chooseSeeds(): PeerId[] {
    if (this.rounds <= FIRST_ROUNDS || this.links.linked().length === 0) {
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
