/**
 * What spreads with the message of lost targets: losses, targets that leave, and requests that may end
 * targets. VMs of a release that does not know a field pass it over.
 */
import type { GuardNews } from '@limelead/quarantine-requests';
import type { LeavingFact } from '@limelead/track-backpressure';
import type { TargetLoss } from '@limelead/track-service-targets';
import { composeGuardNews, readGuardNews } from './guard-messages.js';
import LeavingExchange from './leaving-exchange.js';
import LossNews from './loss-news.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type { EvidenceExchangeOptions, PeerId } from './types.js';

/** What the news need. */
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

/** Tells and hears them. */
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

  /** Tells peers of targets that leave, the one that told it aside. */
  publishLeaving(facts: LeavingFact[], from?: PeerId): void {
    this.leaving.publish(facts, from);
  }

  /** Tells peers of requests that may end targets, the one that told it aside. */
  publishGuardNews(news: GuardNews, from?: PeerId): void {
    this.sendGuardNews(
      news,
      this.options.listPeers().filter((peer) => peer !== from),
    );
  }

  /** A link came up: the peer is told what may be news to it. */
  onLinked(peer: PeerId): void {
    this.sendGuardNews(this.options.readGuardNews(), [peer]);
    this.leaving.onLinked(peer);
  }

  /** A peer told some. */
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

  private sendGuardNews(news: GuardNews, peers: PeerId[]): void {
    const requests = composeGuardNews(news, this.options.clock.now());
    if (requests !== undefined) {
      this.options.broadcast({ kind: 'lost', targets: [], replaced: [], requests }, peers);
    }
  }
}
