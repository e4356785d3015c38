/** Gossip about targets that announced in their answers that they are leaving. */
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { Clock } from '@limelead/types';
import { encodeLeavingUpdate, decodeLeavingUpdate } from './leaving-messages.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Dependencies of `LeavingTargetExchange`. */
export interface LeavingTargetExchangeOptions extends Pick<
  PeerExchangeOptions,
  'readLeaving' | 'onLeaving'
> {
  clock: Clock;
  /** Peers with which gossip is shared. */
  listPeers(): PeerId[];
  /** Whether a peer may follow the same store. */
  isPossiblySameStore(peer: PeerId): boolean;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/**
 * Publishes and receives leaving announcements. The receiver filters announcements that it already
 * has.
 */
export default class LeavingTargetExchange {
  constructor(private readonly options: LeavingTargetExchangeOptions) {}

  /** Publishes announcements to gossip peers except the one from which they came. */
  publish(updates: LeavingUpdate[], from?: PeerId): void {
    this.send(
      updates,
      this.options.listPeers().filter((peer) => peer !== from),
    );
  }

  /** Sends all known announcements to a newly linked peer. */
  onLinked(peer: PeerId): void {
    const updates = this.options.readLeaving();
    if (updates.length > 0) {
      this.send(updates, [peer]);
    }
  }

  /** Handles a message of a peer. */
  onMessage(peer: PeerId, { leaving }: ExchangeMessageOf<'lost'>): void {
    if (leaving !== undefined && this.options.isPossiblySameStore(peer)) {
      this.options.onLeaving(decodeLeavingUpdate(leaving, this.options.clock.now()), peer);
    }
  }

  private send(updates: LeavingUpdate[], peers: PeerId[]): void {
    const leaving = encodeLeavingUpdate(updates, this.options.clock.now());
    this.options.broadcast({ kind: 'lost', targets: [], replaced: [], leaving }, peers);
  }
}
