/**
 * Gossip that shares the message of lost targets: losses, leaving targets, and requests that may crash
 * targets. Older releases ignore the fields that they don't know.
 */
import type { QuarantineUpdate } from '@limelead/quarantine-requests';
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { TargetLoss } from '@limelead/track-service-targets';
import { composeGuardNews, readGuardNews } from './guard-messages.js';
import LeavingExchange from './leaving-exchange.js';
import LossNews from './loss-news.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type { EvidenceExchangeOptions, PeerId } from './types.js';

/** Dependencies of the gossip. */
export interface TargetNewsOptions extends Pick<
  EvidenceExchangeOptions,
  'clock' | 'timers' | 'onLost' | 'readGuardNews' | 'onGuardNews' | 'readLeaving' | 'onLeaving'
> {
  /** Peers with which gossip is shared. */
  listPeers(): PeerId[];
  /** Whether a peer may follow the same store. */
  isPossible(peer: PeerId): boolean;
  send(peer: PeerId, message: EvidenceMessage): void;
  broadcast(message: EvidenceMessage, peers: PeerId[]): void;
}

/** Publishes and receives news of targets. */
export default class TargetNews {
  private readonly losses: LossNews;
  private readonly leaving: LeavingExchange;

  constructor(private readonly options: TargetNewsOptions) {
    const { clock, timers, listPeers, send } = options;
    this.leaving = new LeavingExchange(options);
    this.losses = new LossNews({
      clock,
      timers,
      listPeers,
      tell: (peer, lost) => send(peer, { kind: 'lost', ...lost }),
    });
  }

  /** This VM found a target lost. */
  onLost(target: string, loss: TargetLoss): void {
    this.losses.take(target, loss);
  }

  /** Publishes leaving targets to all peers except the one that they came from. */
  publishLeaving(facts: LeavingUpdate[], from?: PeerId): void {
    this.leaving.publish(facts, from);
  }

  /** Publishes evidence about requests to all peers except the one that it came from. */
  publishGuardNews(news: QuarantineUpdate, from?: PeerId): void {
    this.sendGuardNews(
      news,
      this.options.listPeers().filter((peer) => peer !== from),
    );
  }

  /** A new link: the peer gets everything that is known. */
  onLinked(peer: PeerId): void {
    this.sendGuardNews(this.options.readGuardNews(), [peer]);
    this.leaving.onLinked(peer);
  }

  /** A message of a peer arrived. */
  onMessage(peer: PeerId, message: EvidenceMessageOf<'lost'>): void {
    const { targets, replaced, requests } = message;
    this.leaving.onMessage(peer, message);
    if (requests !== undefined && this.options.isPossible(peer)) {
      this.options.onGuardNews(readGuardNews(requests, this.options.clock.now()), peer);
    }
    this.passOn(peer, targets, 'lost');
    this.passOn(peer, replaced, 'replaced');
  }

  private passOn(peer: PeerId, targets: string[], loss: TargetLoss): void {
    targets
      .filter((target) => this.losses.take(target, loss, peer))
      .forEach((target) => this.options.onLost(target, loss));
  }

  private sendGuardNews(news: QuarantineUpdate, peers: PeerId[]): void {
    const requests = composeGuardNews(news, this.options.clock.now());
    if (requests !== undefined) {
      this.options.broadcast({ kind: 'lost', targets: [], replaced: [], requests }, peers);
    }
  }
}
