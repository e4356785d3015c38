/**
 * What VMs tell each other of limits that targets name, and of permits to send. Limits go to all
 * by gossip; permits pass between a VM and the one that grants them for all.
 */
import type { LimitUpdate, PermitMessage } from '@limelead/permit-sends';
import type { Clock } from '@limelead/types';
import chooseGrantor from './choose-grantor.js';
import type Membership from './membership.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import { composeLimitNews, readLimitNews } from './permit-codecs.js';
import type { EvidenceExchangeOptions, PeerId } from './types.js';

/** What it needs. */
export interface PermitExchangeOptions extends Pick<
  EvidenceExchangeOptions,
  'readLimits' | 'onLimits' | 'onPermits' | 'onPermitPeerLost'
> {
  self: PeerId;
  clock: Clock;
  peers: PeerTable;
  /** Peers with which gossip is shared. */
  listPeers(): PeerId[];
  /** Whether a peer may follow the same store. */
  isPossible(peer: PeerId): boolean;
  readMembership(): Membership | undefined;
  send(peer: PeerId, message: EvidenceMessage): void;
  broadcast(message: EvidenceMessage, peers: PeerId[]): void;
}

/** Tells limits, carries permits, and knows who grants them. */
export default class PermitExchange {
  /** Linked peers of releases that know of limits; others neither follow them nor answer. */
  private readonly speakers = new Set<PeerId>();

  constructor(private readonly options: PermitExchangeOptions) {}

  get self(): PeerId {
    return this.options.self;
  }

  /** VMs that are believed to run, this one included, with those of regions that can't be reached. */
  get vmCount(): number {
    return this.options.readMembership()?.budgetCount ?? 1;
  }

  /** VMs that can ask this one, itself included. */
  get reachedCount(): number {
    return this.speakers.size + 1;
  }

  /** The VM that grants the permits of a service; undefined where it can't be reached. */
  chooseGrantor(service: string): PeerId | undefined {
    const { self, peers } = this.options;
    const candidates = this.options.readMembership()?.listDeciders() ?? [self];
    const isOfOlderRelease = (peer: PeerId): boolean =>
      peer !== self && peers.get(peer) !== undefined && !this.speakers.has(peer);
    const grantor = chooseGrantor(
      service,
      candidates.filter((peer) => !isOfOlderRelease(peer)),
    );
    const isReached = grantor === self || (grantor !== undefined && this.speakers.has(grantor));
    return isReached ? grantor : undefined;
  }

  /** Tells limits to the peers of gossip, the one that told them aside. */
  publishLimits(facts: LimitUpdate[], from?: PeerId): void {
    const peers = this.options.listPeers().filter((peer) => peer !== from);
    this.options.broadcast(this.compose(facts), peers);
  }

  /** Tells limits to one peer. */
  sendLimitCorrection(peer: PeerId, facts: LimitUpdate[]): void {
    this.options.send(peer, this.compose(facts));
  }

  /** A permit, or a question for some. */
  send(peer: PeerId, message: PermitMessage): void {
    this.options.send(peer, message);
  }

  /** A link came up: the peer is told all limits, and by that, that this release knows of them. */
  noteLinked(peer: PeerId): void {
    this.sendLimitCorrection(peer, this.options.readLimits());
  }

  /** A link is lost. */
  noteLost(peer: PeerId): void {
    this.speakers.delete(peer);
    this.options.onPermitPeerLost(peer);
  }

  /** A peer told limits. */
  onPeerUpdate(peer: PeerId, { limits }: EvidenceMessageOf<'lost'>): void {
    if (limits === undefined) {
      return;
    }
    this.speakers.add(peer);
    if (this.options.isPossible(peer)) {
      this.options.onLimits(readLimitNews(limits, this.options.clock.now()), peer);
    }
  }

  /** A peer asks, gives or returns permits. */
  hear(peer: PeerId, message: PermitMessage): void {
    if (this.options.isPossible(peer)) {
      this.options.onPermits(message, peer);
    }
  }

  private compose(facts: LimitUpdate[]): EvidenceMessage {
    const limits = composeLimitNews(facts, this.options.clock.now());
    return { kind: 'lost', targets: [], replaced: [], limits };
  }
}
