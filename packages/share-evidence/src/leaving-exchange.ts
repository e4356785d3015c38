/** Gossip about targets that announced in their answers that they leave. */
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { Clock } from '@limelead/types';
import { composeLeavingNews, readLeavingNews } from './leaving-messages.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type { EvidenceExchangeOptions, PeerId } from './types.js';

/** Dependencies of the exchange. */
export interface LeavingExchangeOptions extends Pick<
  EvidenceExchangeOptions,
  'readLeaving' | 'onLeaving'
> {
  clock: Clock;
  /** Peers with which gossip is shared. */
  listPeers(): PeerId[];
  /** Whether a peer may follow the same store. */
  isPossible(peer: PeerId): boolean;
  broadcast(message: EvidenceMessage, peers: PeerId[]): void;
}

/** Publishes and receives announcements; forwarding known ones is left to the receiver's filter. */
export default class LeavingExchange {
  constructor(private readonly options: LeavingExchangeOptions) {}

  /** Publishes to the gossip peers, except the one that it came from. */
  publish(facts: LeavingUpdate[], from?: PeerId): void {
    this.send(
      facts,
      this.options.listPeers().filter((peer) => peer !== from),
    );
  }

  /** A new link: the peer gets everything that is known. */
  onLinked(peer: PeerId): void {
    const facts = this.options.readLeaving();
    if (facts.length > 0) {
      this.send(facts, [peer]);
    }
  }

  /** A message of a peer arrived. */
  onMessage(peer: PeerId, { leaving }: EvidenceMessageOf<'lost'>): void {
    if (leaving !== undefined && this.options.isPossible(peer)) {
      this.options.onLeaving(readLeavingNews(leaving, this.options.clock.now()), peer);
    }
  }

  private send(facts: LeavingUpdate[], peers: PeerId[]): void {
    const leaving = composeLeavingNews(facts, this.options.clock.now());
    this.options.broadcast({ kind: 'lost', targets: [], replaced: [], leaving }, peers);
  }
}
