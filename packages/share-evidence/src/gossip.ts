/**
 * Heartbeats to the peers with which losses, members, repeats and news of the store are
 * shared, and pulses on the other links, which lead to schedulers.
 */
import type { MemberAge } from './member-book.js';
import { nameMembers } from './named-members.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type { HiddenRegion } from './region-sizes.js';
import type PeerTable from './peer-table.js';
import type { ToldMarks } from './same-store.js';
import type { EvidenceExchangeOptions, PeerId } from './types.js';

/** What gossip needs. */
export interface GossipOptions extends Pick<EvidenceExchangeOptions, 'readKnowledge' | 'region'> {
  peers: PeerTable;
  /** Whether this VM chose a peer for gossip. */
  isChosen(peer: PeerId): boolean;
  /** Every member, to name to a peer that may know none. */
  nameAll(): MemberAge[];
  /** Whether a peer is in another region. */
  isDistant(peer: PeerId): boolean;
  /** The members of the own region; none where the fleet is in one. */
  nameRegion(): MemberAge[];
  /** Regions that this VM can't see. */
  listHidden(): HiddenRegion[];
  /** What to tell a peer of the store that this VM follows; undefined where both are sure. */
  composeMarks(peer: PeerId): ToldMarks | undefined;
  broadcast(message: EvidenceMessage, peers: PeerId[]): void;
}

/** Knows which links serve gossip: those that one of both ends chose for it. */
export default class Gossip {
  constructor(private readonly options: GossipOptions) {}

  /** Peers that share in it. */
  listPeers(): PeerId[] {
    return this.options.peers.list().filter((peer) => this.serves(peer));
  }

  /** Tells peers that this VM is there. */
  beat(peers: PeerId[], named: MemberAge[]): void {
    const gossiping = peers.filter((peer) => this.serves(peer));
    this.options.broadcast(
      { kind: 'pulse' },
      peers.filter((peer) => !gossiping.includes(peer)),
    );
    this.sendHeartbeats(gossiping, named);
  }

  /** A peer said whether it chose this VM. */
  hear(peer: PeerId, isWantedThere: boolean): void {
    const state = this.options.peers.get(peer);
    if (state === undefined) {
      return;
    }
    state.isWantedThere = isWantedThere;
    if (!state.isGreeted && this.serves(peer)) {
      this.sendHeartbeats([peer], []);
    }
  }

  private serves(peer: PeerId): boolean {
    const { isChosen, peers } = this.options;
    return isChosen(peer) || peers.get(peer)?.isWantedThere === true;
  }

  /** The first heartbeat to a peer names all members. */
  private sendHeartbeats(peers: PeerId[], named: MemberAge[]): void {
    const greeted = this.options.peers.takeUngreeted(peers);
    if (greeted.length > 0) {
      this.sendHeartbeat(greeted, this.options.nameAll());
    }
    const others = peers.filter((peer) => !greeted.includes(peer));
    const distant = others.filter((peer) => this.options.isDistant(peer));
    this.sendHeartbeat(
      others.filter((peer) => !distant.includes(peer)),
      named,
    );
    if (distant.length > 0) {
      this.sendHeartbeat(distant, this.addRegion(named));
    }
  }

  /**
   * A few links join two regions: a VM named there by chance only would be forgotten in
   * the other region while it runs.
   */
  private addRegion(named: MemberAge[]): MemberAge[] {
    const members = new Map([...named, ...this.options.nameRegion()].map((vm) => [vm.id, vm]));
    return [...members.values()];
  }

  private sendHeartbeat(peers: PeerId[], members: MemberAge[]): void {
    const { readKnowledge, region, isChosen, listHidden } = this.options;
    const { revision, configuration, configurationBytes } = readKnowledge();
    const knowledge = { revision, configuration, configurationBytes };
    for (const wanted of [true, false]) {
      const addressed = peers.filter((peer) => isChosen(peer) === wanted);
      const hidden = listHidden();
      const told = {
        ...nameMembers(members, region),
        ...(hidden.length === 0 ? {} : { hidden }),
      };
      const heartbeat = { kind: 'heartbeat', wanted, ...told, ...knowledge } as const;
      this.sendWithMarks(heartbeat, addressed);
    }
  }

  /** Marks are told one by one to those that need them, which are few behind the start. */
  private sendWithMarks(heartbeat: EvidenceMessageOf<'heartbeat'>, peers: PeerId[]): void {
    const { broadcast, composeMarks } = this.options;
    const marks = new Map(peers.map((peer) => [peer, composeMarks(peer)]));
    broadcast(
      heartbeat,
      peers.filter((peer) => marks.get(peer) === undefined),
    );
    for (const [peer, storeMarks] of marks) {
      if (storeMarks !== undefined) {
        broadcast({ ...heartbeat, storeMarks }, [peer]);
      }
    }
  }
}
