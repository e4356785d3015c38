/**
 * Gossip that shares the message of lost targets: losses, leaving targets, answers to probes, and
 * quarantine updates.
 * Older releases ignore fields that they do not know.
 */
import type { QuarantineUpdate } from '@limelead/quarantine-requests';
import type { BrittleUpdate, LeavingUpdate } from '@limelead/track-backpressure';
import type { TargetLoss } from '@limelead/track-service-targets';
import { decodeBrittleUpdate, encodeBrittleUpdate } from './brittle-messages.js';
import { encodeQuarantineUpdate, decodeQuarantineUpdate } from './quarantine-messages.js';
import LeavingTargetExchange from './leaving-target-exchange.js';
import LossPublisher from './loss-publisher.js';
import ProbeAnswerExchange from './probe-answer-exchange.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Dependencies of `TargetUpdateExchange`. */
export interface TargetUpdateExchangeOptions extends Pick<
  PeerExchangeOptions,
  | 'clock'
  | 'timers'
  | 'onTargetLost'
  | 'onProbeAnswers'
  | 'readQuarantineState'
  | 'onQuarantineUpdate'
  | 'readLeaving'
  | 'onLeaving'
  | 'readBrittle'
  | 'onBrittle'
> {
  /** Peers with which gossip is shared. */
  listPeers(): PeerId[];
  listLinkedPeers(): PeerId[];
  /** Whether a peer may follow the same store. */
  isPossiblySameStore(peer: PeerId): boolean;
  send(peer: PeerId, message: ExchangeMessage): void;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/** Publishes and receives updates about targets. */
export default class TargetUpdateExchange {
  private readonly lossPublisher: LossPublisher;
  private readonly leaving: LeavingTargetExchange;
  /** Answers of targets to probes. */
  readonly probeAnswers: ProbeAnswerExchange;

  constructor(private readonly options: TargetUpdateExchangeOptions) {
    const { clock, timers, listPeers, send } = options;
    this.leaving = new LeavingTargetExchange(options);
    this.probeAnswers = new ProbeAnswerExchange(options);
    this.lossPublisher = new LossPublisher({
      clock,
      timers,
      listPeers,
      send: (peer, lost) => send(peer, { kind: 'lost', ...lost }),
    });
  }

  /** Publishes a target that this VM detected as lost. */
  publishLoss(target: string, loss: TargetLoss): void {
    this.lossPublisher.recordLoss(target, loss);
  }

  /** Publishes leaving targets to all peers except the one from which they came. */
  publishLeaving(updates: LeavingUpdate[], from?: PeerId): void {
    this.leaving.publish(updates, from);
  }

  /** Publishes brittle targets to all peers except the one from which they came. */
  publishBrittle(updates: BrittleUpdate[], from?: PeerId): void {
    this.sendBrittle(
      updates,
      this.options.listPeers().filter((peer) => peer !== from),
    );
  }

  /** Publishes a quarantine update to all peers except the one from which it came. */
  publishQuarantineUpdate(update: QuarantineUpdate, from?: PeerId): void {
    this.sendQuarantineUpdate(
      update,
      this.options.listPeers().filter((peer) => peer !== from),
    );
  }

  /** Sends the known quarantine state and leaving targets to a newly linked peer. */
  onLinked(peer: PeerId): void {
    this.sendQuarantineUpdate(this.options.readQuarantineState(), [peer]);
    this.leaving.onLinked(peer);
    const brittle = this.options.readBrittle();
    if (brittle.length > 0) {
      this.sendBrittle(brittle, [peer]);
    }
  }

  /** Handles a message of a peer. */
  onMessage(peer: PeerId, message: ExchangeMessageOf<'lost'>): void {
    const { targets, replaced, requests, brittle } = message;
    this.leaving.onMessage(peer, message);
    this.probeAnswers.onMessage(message);
    if (requests !== undefined && this.options.isPossiblySameStore(peer)) {
      this.options.onQuarantineUpdate(
        decodeQuarantineUpdate(requests, this.options.clock.now()),
        peer,
      );
    }
    if (brittle !== undefined && this.options.isPossiblySameStore(peer)) {
      this.options.onBrittle(decodeBrittleUpdate(brittle, this.options.clock.now()), peer);
    }
    this.forwardLosses(peer, targets, 'lost');
    this.forwardLosses(peer, replaced, 'replaced');
  }

  private forwardLosses(peer: PeerId, targets: string[], loss: TargetLoss): void {
    targets
      .filter((target) => this.lossPublisher.recordLoss(target, loss, peer))
      .forEach((target) => this.options.onTargetLost(target, loss, peer));
  }

  private sendBrittle(updates: BrittleUpdate[], peers: PeerId[]): void {
    const brittle = encodeBrittleUpdate(updates, this.options.clock.now());
    this.options.broadcast({ kind: 'lost', targets: [], replaced: [], brittle }, peers);
  }

  private sendQuarantineUpdate(update: QuarantineUpdate, peers: PeerId[]): void {
    const requests = encodeQuarantineUpdate(update, this.options.clock.now());
    if (requests !== undefined) {
      this.options.broadcast({ kind: 'lost', targets: [], replaced: [], requests }, peers);
    }
  }
}
