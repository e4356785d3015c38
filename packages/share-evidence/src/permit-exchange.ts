/**
 * Exchanges target limits, which reach all VMs by gossip, and permits, which pass between a VM and
 * the grantor of the service.
 */
import type { LimitUpdate, PermitMessage } from '@limelead/permit-sends';
import type { Clock } from '@limelead/types';
import chooseGrantor from './choose-grantor.js';
import type Membership from './membership.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import { encodeLimitUpdate, decodeLimitUpdate } from './permit-codecs.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/** Dependencies of `PermitExchange`. */
export interface PermitExchangeOptions extends Pick<
  PeerExchangeOptions,
  'readLimits' | 'onLimits' | 'onPermitMessage' | 'onPermitPeerLost'
> {
  self: PeerId;
  clock: Clock;
  peers: PeerTable;
  /** Peers with which gossip is shared. */
  listPeers(): PeerId[];
  /** Whether a peer may follow the same store. */
  isPossiblySameStore(peer: PeerId): boolean;
  readMembership(): Membership | undefined;
  send(peer: PeerId, message: ExchangeMessage): void;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/** Publishes limits, transfers permits, and determines their grantors. */
export default class PermitExchange {
  /** Linked peers whose release knows limits; other peers neither apply limits nor answer. */
  private readonly limitAwarePeers = new Set<PeerId>();

  constructor(private readonly options: PermitExchangeOptions) {}

  get self(): PeerId {
    return this.options.self;
  }

  /** Number of VMs including this one and those of unreachable regions. */
  get totalVmCount(): number {
    return this.options.readMembership()?.totalVmCount ?? 1;
  }

  /** Number of VMs that can send requests to this one, including itself. */
  get reachableCount(): number {
    return this.limitAwarePeers.size + 1;
  }

  /** Returns the grantor of a service; undefined if it is unreachable. */
  chooseGrantor(service: string): PeerId | undefined {
    const { self, peers } = this.options;
    const candidates = this.options.readMembership()?.listGrantorCandidates() ?? [self];
    const isOfOlderRelease = (peer: PeerId): boolean =>
      peer !== self && peers.get(peer) !== undefined && !this.limitAwarePeers.has(peer);
    const grantor = chooseGrantor(
      service,
      candidates.filter((peer) => !isOfOlderRelease(peer)),
    );
    const isReachable =
      grantor === self || (grantor !== undefined && this.limitAwarePeers.has(grantor));
    return isReachable ? grantor : undefined;
  }

  /** Publishes limits to gossip peers except the one from which they came. */
  publishLimits(updates: LimitUpdate[], from?: PeerId): void {
    const peers = this.options.listPeers().filter((peer) => peer !== from);
    this.options.broadcast(this.composeMessage(updates), peers);
  }

  /** Sends limits to one peer. */
  sendLimitCorrection(peer: PeerId, updates: LimitUpdate[]): void {
    this.options.send(peer, this.composeMessage(updates));
  }

  /** Sends a permit, or a request for permits. */
  send(peer: PeerId, message: PermitMessage): void {
    this.options.send(peer, message);
  }

  /** Sends all limits to a newly linked peer, which also shows that this release knows limits. */
  onLinked(peer: PeerId): void {
    this.sendLimitCorrection(peer, this.options.readLimits());
  }

  /** Handles the loss of a link. */
  onPeerLost(peer: PeerId): void {
    this.limitAwarePeers.delete(peer);
    this.options.onPermitPeerLost(peer);
  }

  /** Handles limits that a peer published. */
  onPeerUpdate(peer: PeerId, { limits }: ExchangeMessageOf<'lost'>): void {
    if (limits === undefined) {
      return;
    }
    this.limitAwarePeers.add(peer);
    if (this.options.isPossiblySameStore(peer)) {
      this.options.onLimits(decodeLimitUpdate(limits, this.options.clock.now()), peer);
    }
  }

  /** Handles requested, granted or returned permits. */
  onMessage(peer: PeerId, message: PermitMessage): void {
    if (this.options.isPossiblySameStore(peer)) {
      this.options.onPermitMessage(message, peer);
    }
  }

  private composeMessage(updates: LimitUpdate[]): ExchangeMessage {
    const limits = encodeLimitUpdate(updates, this.options.clock.now());
    return { kind: 'lost', targets: [], replaced: [], limits };
  }
}
