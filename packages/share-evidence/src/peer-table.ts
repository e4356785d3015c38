/** The peers to which this VM is linked, with what each said last. */
import type { Clock, Millis } from '@limelead/types';
import type { PeerId, PeerKnowledge, PeerState } from './types.js';

/** A peer that said nothing for this long is dropped. */
const SILENT_PEER_MS = 3_200;

/** Holds the peers. */
export default class PeerTable {
  private readonly peers = new Map<PeerId, PeerState>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.peers.size;
  }

  /** A link came up. */
  add(peer: PeerId): void {
    const now = this.clock.now();
    this.peers.set(peer, {
      linkedAtMs: now,
      heardAtMs: now,
      isWantedThere: false,
      isGreeted: false,
      revision: 0,
      configuration: 0,
      configurationBytes: 0,
    });
  }

  get(peer: PeerId): PeerState | undefined {
    return this.peers.get(peer);
  }

  /** A peer said something; false where no link to it is up. */
  hear(peer: PeerId): boolean {
    const state = this.peers.get(peer);
    if (state === undefined) {
      return false;
    }
    state.heardAtMs = this.clock.now();
    return true;
  }

  /** True where the peer was there. */
  remove(peer: PeerId): boolean {
    return this.peers.delete(peer);
  }

  /** Every linked peer. */
  list(): PeerId[] {
    return [...this.peers.keys()];
  }

  /** Those of some peers that were not named all members yet; from now on they were. */
  takeUngreeted(peers: PeerId[]): PeerId[] {
    return peers.filter((peer) => {
      const state = this.peers.get(peer);
      const isFirst = state?.isGreeted === false;
      if (isFirst) {
        state.isGreeted = true;
      }
      return isFirst;
    });
  }

  /** A peer told all that it knows of the store. */
  noteKnowledge(
    peer: PeerId,
    { revision, configuration, configurationBytes }: PeerKnowledge,
  ): void {
    const state = this.peers.get(peer);
    if (state !== undefined) {
      Object.assign(state, { revision, configuration, configurationBytes });
    }
  }

  /** A peer has news of the store, which may be older than what it told before. */
  noteNews(peer: PeerId, { revision, configuration, configurationBytes }: PeerKnowledge): void {
    const state = this.peers.get(peer);
    if (state !== undefined) {
      state.revision = Math.max(state.revision, revision);
      state.configuration = Math.max(state.configuration, configuration);
      state.configurationBytes = configurationBytes;
    }
  }

  /** What each of some peers knows of the store. */
  readKnowledge(peers: PeerId[]): (readonly [PeerId, PeerKnowledge])[] {
    return peers.flatMap((peer) => {
      const state = this.peers.get(peer);
      return state === undefined ? [] : [[peer, state] as const];
    });
  }

  /** Peers that have been silent for too long. */
  listSilent(): PeerId[] {
    const heardSince: Millis = this.clock.now() - SILENT_PEER_MS;
    return this.list().filter((peer) => (this.peers.get(peer)?.heardAtMs ?? 0) < heardSince);
  }
}
