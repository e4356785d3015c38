/**
 * Tells linked peers which targets answered a probe. Many VMs suspect a slow target at the same
 * moment, and the answer to one of them spares the probes of the others.
 */
import type { PeerProbeAnswer } from '@limelead/track-service-targets';
import type { Clock, Timers } from '@limelead/types';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import { decodeProbeAnswers, encodeProbeAnswers } from './probe-messages.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Answers within this time are sent together; short, since peers wait up to 20 ms before they probe. */
const BATCH_MS = 2;

/** Dependencies of `ProbeAnswerExchange`. */
export interface ProbeAnswerExchangeOptions extends Pick<PeerExchangeOptions, 'onProbeAnswers'> {
  clock: Clock;
  timers: Timers;
  listLinkedPeers(): PeerId[];
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/** Publishes and receives answers to probes. They are not forwarded. */
export default class ProbeAnswerExchange {
  private pending: PeerProbeAnswer[] = [];

  constructor(private readonly options: ProbeAnswerExchangeOptions) {}

  /** Publishes the answer to a probe of this VM. */
  publish(answer: PeerProbeAnswer): void {
    if (this.pending.length === 0) {
      this.options.timers.after(BATCH_MS, () => this.sendPending());
    }
    this.pending.push(answer);
  }

  /** Handles a message of a peer. */
  onMessage({ probed }: ExchangeMessageOf<'lost'>): void {
    if (probed !== undefined) {
      this.options.onProbeAnswers(decodeProbeAnswers(probed, this.options.clock.now()));
    }
  }

  private sendPending(): void {
    const probed = encodeProbeAnswers(this.pending, this.options.clock.now());
    this.pending = [];
    this.options.broadcast(
      { kind: 'lost', targets: [], replaced: [], probed },
      this.options.listLinkedPeers(),
    );
  }
}
