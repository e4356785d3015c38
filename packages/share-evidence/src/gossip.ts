/**
 * Heartbeats to the peers with which losses, members, repeats and news of the store are
 * shared, and pulses on the other links, which lead to schedulers.
 */
import type { MemberAge } from './member-book.js';
import type { EvidenceMessage } from './messages.js';
import type PeerTable from './peer-table.js';
import type { EvidenceExchangeOptions, PeerId } from './types.js';

/** What gossip needs. */
export interface GossipOptions extends Pick<EvidenceExchangeOptions, 'readKnowledge'> {
  peers: PeerTable;
  /** Whether this VM chose a peer for gossip. */
  isChosen(peer: PeerId): boolean;
  /** Every member, to name to a peer that may know none. */
  nameAll(): MemberAge[];
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
    this.sendHeartbeat(
      peers.filter((peer) => !greeted.includes(peer)),
      named,
    );
  }

  private sendHeartbeat(peers: PeerId[], members: MemberAge[]): void {
    const { readKnowledge, isChosen, broadcast } = this.options;
    const { revision, configuration, configurationBytes } = readKnowledge();
    const knowledge = { revision, configuration, configurationBytes };
    for (const wanted of [true, false]) {
      const addressed = peers.filter((peer) => isChosen(peer) === wanted);
      broadcast({ kind: 'heartbeat', wanted, members, ...knowledge }, addressed);
    }
  }
}
