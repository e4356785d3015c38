/** Transfers places at the targets of queued services, and determines the queue VM of a service. */
import type { QueueMessage } from '@limelead/queue-calls';
import { RecentTimes, type Clock, type Millis } from '@limelead/types';
import chooseGrantor from './choose-grantor.js';
import type Membership from './membership.js';
import type { ExchangeMessage } from './messages.js';
import type PeerTable from './peer-table.js';
import type ReachExchange from './reach-exchange.js';
import type { PeerExchangeOptions, PeerId } from './types.js';

/**
 * Time for which a VM whose link was lost is no queue VM unless it is linked again. It stays among
 * the members for some time, in which no other VM would take over its queues.
 */
const LOST_TTL_MS: Millis = 15_000;
/** Time for which a choice is kept, since it is needed for each call and hashes all candidates. */
const CHOICE_TTL_MS: Millis = 20;

/** Dependencies of `QueueExchange`. */
export interface QueueExchangeOptions extends Pick<
  PeerExchangeOptions,
  'onQueueMessage' | 'onQueuePeerLost'
> {
  self: PeerId;
  clock: Clock;
  peers: PeerTable;
  /** Whether a peer may follow the same store. */
  isPossiblySameStore(peer: PeerId): boolean;
  readMembership(): Membership | undefined;
  reach: Pick<ReachExchange, 'preferReached'>;
  send(peer: PeerId, message: ExchangeMessage): void;
}

interface Choice {
  queueVm: PeerId | undefined;
  atMs: Millis;
}

/** Connects the call queue to peers. */
export default class QueueExchange {
  private readonly lostPeers = new RecentTimes(LOST_TTL_MS);
  private readonly choices = new Map<string, Choice>();

  constructor(private readonly options: QueueExchangeOptions) {}

  get self(): PeerId {
    return this.options.self;
  }

  /** Number of VMs including this one and those of unreachable regions. */
  get totalVmCount(): number {
    return this.options.readMembership()?.totalVmCount ?? 1;
  }

  /** Returns the VM that holds the waiting calls of a service; undefined if it is unreachable. */
  chooseQueueVm(service: string): PeerId | undefined {
    const now = this.options.clock.now();
    const known = this.choices.get(service);
    if (known !== undefined && now - known.atMs < CHOICE_TTL_MS) {
      return known.queueVm;
    }
    const queueVm = this.choose(service, now);
    this.choices.set(service, { queueVm, atMs: now });
    return queueVm;
  }

  send(peer: PeerId, message: QueueMessage): void {
    this.options.send(peer, message);
  }

  /** Handles the loss of a link. */
  onPeerLost(peer: PeerId): void {
    this.lostPeers.record(peer, this.options.clock.now());
    this.choices.clear();
    this.options.onQueuePeerLost(peer);
  }

  /** Handles a message about places. */
  onMessage(peer: PeerId, message: QueueMessage): void {
    if (this.options.isPossiblySameStore(peer)) {
      this.options.onQueueMessage(message, peer);
    }
  }

  private choose(service: string, now: Millis): PeerId | undefined {
    const { self, peers, readMembership } = this.options;
    const isLinked = (peer: PeerId): boolean => peer === self || peers.get(peer) !== undefined;
    const candidates = readMembership()?.listGrantorCandidates() ?? [self];
    const present = candidates.filter(
      (peer) => isLinked(peer) || this.lostPeers.ageMs(peer, now) === undefined,
    );
    // A VM without targets would give no places.
    const queueVm = chooseGrantor(service, this.options.reach.preferReached(present, service));
    return queueVm !== undefined && isLinked(queueVm) ? queueVm : undefined;
  }
}
