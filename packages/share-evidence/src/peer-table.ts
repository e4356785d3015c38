/** The peers to which this VM is linked, with the state that each reported. */
import type { Clock, Millis } from '@limelead/types';
import type { PeerId, PeerSyncState, PeerState } from './types.js';

/** Time without a message after which a peer is dropped. */
const SILENCE_TIMEOUT_MS = 3_200;

/** Stores the linked peers. */
export default class PeerTable {
  private readonly peers = new Map<PeerId, PeerState>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.peers.size;
  }

  /** Adds a newly linked peer. */
  add(peer: PeerId): void {
    const now = this.clock.now();
    this.peers.set(peer, {
      linkedAtMs: now,
      receivedAtMs: now,
      isChosenByPeer: false,
      hasReceivedMembers: false,
      revision: 0,
      configuration: 0,
      configurationBytes: 0,
    });
  }

  get(peer: PeerId): PeerState | undefined {
    return this.peers.get(peer);
  }

  /** Records that a peer sent a message; returns false if it is not linked. */
  recordMessage(peer: PeerId): boolean {
    const state = this.peers.get(peer);
    if (state === undefined) {
      return false;
    }
    state.receivedAtMs = this.clock.now();
    return true;
  }

  /** Returns whether the peer was present. */
  remove(peer: PeerId): boolean {
    return this.peers.delete(peer);
  }

  /** Every linked peer. */
  list(): PeerId[] {
    return [...this.peers.keys()];
  }

  /**
   * Returns those of the peers that have not received all members yet, and marks them as having
   * received them.
   */
  markMembersSent(peers: PeerId[]): PeerId[] {
    return peers.filter((peer) => {
      const state = this.peers.get(peer);
      const isPending = state?.hasReceivedMembers === false;
      if (isPending) {
        state.hasReceivedMembers = true;
      }
      return isPending;
    });
  }

  /** Replaces the store state that a peer reported. */
  setSyncState(peer: PeerId, { revision, configuration, configurationBytes }: PeerSyncState): void {
    const state = this.peers.get(peer);
    if (state !== undefined) {
      Object.assign(state, { revision, configuration, configurationBytes });
    }
  }

  /**
   * Advances the store state of a peer; the progress that it reports may be older than a heartbeat.
   */
  advanceSyncState(
    peer: PeerId,
    { revision, configuration, configurationBytes }: PeerSyncState,
  ): void {
    const state = this.peers.get(peer);
    if (state !== undefined) {
      state.revision = Math.max(state.revision, revision);
      state.configuration = Math.max(state.configuration, configuration);
      state.configurationBytes = configurationBytes;
    }
  }

  /** Returns the store states of some peers. */
  listSyncStates(peers: PeerId[]): (readonly [PeerId, PeerSyncState])[] {
    return peers.flatMap((peer) => {
      const state = this.peers.get(peer);
      return state === undefined ? [] : [[peer, state] as const];
    });
  }

  /** Peers that exceeded the silence timeout. */
  listSilent(): PeerId[] {
    const receivedSince: Millis = this.clock.now() - SILENCE_TIMEOUT_MS;
    return this.list().filter((peer) => (this.peers.get(peer)?.receivedAtMs ?? 0) < receivedSince);
  }
}
