/**
 * Sends heartbeats to the peers that share gossip (losses, members, borrowed retries, progress of
 * the store) and pulses to the other peers, such as schedulers.
 */
import type { GossipedMember } from './member-registry.js';
import { toHeartbeatMembers } from './heartbeat-members.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type { UnreachableRegion } from './region-size-tracker.js';
import type PeerTable from './peer-table.js';
import type { AdvertisedStoreMarks } from './peer-store-verifier.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Dependencies of `Gossip`. */
export interface GossipOptions extends Pick<
  PeerExchangeOptions,
  'readSyncState' | 'region' | 'readDemand'
> {
  peers: PeerTable;
  /** Whether this VM chose a peer for gossip. */
  isChosenPeer(peer: PeerId): boolean;
  /** All members, for a peer that may know none. */
  listAllMembers(): GossipedMember[];
  /** Whether a peer is in another region. */
  isInOtherRegion(peer: PeerId): boolean;
  /** The members of the own region; empty if the fleet has one region. */
  listRegionMembers(): GossipedMember[];
  /** Regions that this VM cannot reach. */
  listUnreachableRegions(): UnreachableRegion[];
  /** Marks of the store for a peer; undefined if both ends know that they follow the same store. */
  composeMarks(peer: PeerId): AdvertisedStoreMarks | undefined;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/**
 * Sends heartbeats, and knows the links that share gossip: those that at least one end chose for
 * it.
 */
export default class Gossip {
  constructor(private readonly options: GossipOptions) {}

  /** Peers with which gossip is shared. */
  listPeers(): PeerId[] {
    return this.options.peers.list().filter((peer) => this.sharesGossip(peer));
  }

  /** Sends heartbeats to gossip peers and pulses to the others. */
  sendHeartbeats(peers: PeerId[], members: GossipedMember[]): void {
    const gossipPeers = peers.filter((peer) => this.sharesGossip(peer));
    this.options.broadcast(
      { kind: 'pulse' },
      peers.filter((peer) => !gossipPeers.includes(peer)),
    );
    this.sendGossipHeartbeats(gossipPeers, members);
  }

  /** Handles whether a peer chose this VM for gossip. */
  onPeerChoice(peer: PeerId, isChosenByPeer: boolean): void {
    const state = this.options.peers.get(peer);
    if (state === undefined) {
      return;
    }
    state.isChosenByPeer = isChosenByPeer;
    if (!state.hasReceivedMembers && this.sharesGossip(peer)) {
      this.sendGossipHeartbeats([peer], []);
    }
  }

  private sharesGossip(peer: PeerId): boolean {
    const { isChosenPeer, peers } = this.options;
    return isChosenPeer(peer) || peers.get(peer)?.isChosenByPeer === true;
  }

  /** Sends all members with the first heartbeat to a peer. */
  private sendGossipHeartbeats(peers: PeerId[], members: GossipedMember[]): void {
    const firstTime = this.options.peers.markMembersSent(peers);
    if (firstTime.length > 0) {
      this.sendHeartbeat(firstTime, this.options.listAllMembers());
    }
    const others = peers.filter((peer) => !firstTime.includes(peer));
    const remote = others.filter((peer) => this.options.isInOtherRegion(peer));
    this.sendHeartbeat(
      others.filter((peer) => !remote.includes(peer)),
      members,
    );
    if (remote.length > 0) {
      this.sendHeartbeat(remote, this.addRegion(members));
    }
  }

  /**
   * Adds the members of the own region. Few links join two regions, so that random samples alone
   * would let running VMs expire in the other region.
   */
  private addRegion(members: GossipedMember[]): GossipedMember[] {
    const byId = new Map(
      [...members, ...this.options.listRegionMembers()].map((vm) => [vm.id, vm]),
    );
    return [...byId.values()];
  }

  private sendHeartbeat(peers: PeerId[], members: GossipedMember[]): void {
    const { readSyncState, region, isChosenPeer, listUnreachableRegions } = this.options;
    const { revision, configuration, configurationBytes } = readSyncState();
    const syncState = { revision, configuration, configurationBytes };
    const demand = this.options.readDemand?.() ?? [];
    for (const isChosen of [true, false]) {
      const addressed = peers.filter((peer) => isChosenPeer(peer) === isChosen);
      const hidden = listUnreachableRegions();
      const regionFields = {
        ...toHeartbeatMembers(members, region),
        ...(hidden.length === 0 ? {} : { hidden }),
      };
      const heartbeat = {
        kind: 'heartbeat',
        wanted: isChosen,
        ...regionFields,
        ...syncState,
        ...(demand.length === 0 ? {} : { demand }),
      } as const;
      this.sendWithStoreMarks(heartbeat, addressed);
    }
  }

  /** Adds store marks for the peers that need them; the others share one message. */
  private sendWithStoreMarks(heartbeat: ExchangeMessageOf<'heartbeat'>, peers: PeerId[]): void {
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
