/**
 * Exchanges messages between one VM and its peers: load and lost targets, advice on where streams
 * go, permits, reports, and items of the store for VMs that the store does not answer.
 */
import { describeThrown } from '@limelead/errors';
import { createPeerLinks, type PeerLinks } from '@limelead/peer-links';
import type { PermitMessage } from '@limelead/permit-sends';
import type { QueueMessage } from '@limelead/queue-calls';
import type { QuarantineUpdate } from '@limelead/quarantine-requests';
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { TargetLoss } from '@limelead/track-service-targets';
import type { Advice, AdviceRequest, Millis } from '@limelead/types';
import Gossip from './gossip.js';
import LoadExchange from './load-exchange.js';
import type { GossipedMember } from './member-registry.js';
import canDelegateStoreRetries from './can-delegate-store-retries.js';
import Membership from './membership.js';
import { fromHeartbeatMembers } from './heartbeat-members.js';
import OriginExchange, { type OriginMessage } from './origin-exchange.js';
import PeerTable from './peer-table.js';
import PermitExchange from './permit-exchange.js';
import QueueExchange from './queue-exchange.js';
import RetryExchange from './retry-exchange.js';
import PeerStoreVerifier from './peer-store-verifier.js';
import skipForeignPeers from './skip-foreign-peers.js';
import ReachExchange from './reach-exchange.js';
import type { RegionChange } from './region-size-tracker.js';
import StoreExchange from './store-exchange.js';
import TargetUpdateExchange from './target-update-exchange.js';
import {
  exchangeMessageFormat,
  type ExchangeMessage,
  type ExchangeMessageOf,
  type SupportedMessage,
} from './messages.js';
import type { PeerReport } from './report-messages.js';
import type { PeerExchangeOptions, LinkedPeer, PeerId } from './types.js';

/** Interval of heartbeats and of updates of links and members. */
const ROUND_MS = 1_000;
/**
 * Delay of the second round. VMs that start together do so within 0.3 s, so by then the seeds know
 * all of them.
 */
const SECOND_ROUND_MS = 400;
/**
 * Time in milliseconds for which a VM that has listed the store waits to learn from its seeds
 * whether the fleet is large. The links to the seeds are open within 50 ms.
 */
const FIRST_WATCH_DELAY_MS = 100;
/** The same in a large fleet, until the third round determines the VMs that follow the store. */
const LARGE_FLEET_FIRST_WATCH_DELAY_MS = 1_500;

/** Connects a VM to its peers and dispatches their messages. */
export default class PeerExchange {
  private links: PeerLinks<ExchangeMessage> | undefined;
  private readonly peers: PeerTable;
  private members: Membership | undefined;
  private readonly gossip: Gossip;
  private readonly load: LoadExchange;
  readonly targetUpdates: TargetUpdateExchange;
  /** Services that VMs do not reach. */
  readonly reach: ReachExchange;
  private readonly store: StoreExchange;
  private readonly storeVerifier: PeerStoreVerifier;
  /** Borrows retries from peers and lends them. */
  readonly retries: RetryExchange;
  /** Limits reported by targets, and permits. */
  readonly permits: PermitExchange;
  /** Places at the targets of queued services. */
  readonly queues: QueueExchange;
  /** Software versions that began streams. */
  readonly origins: OriginExchange;
  /** Version of the configuration that was last sent to peers. */
  private announcedConfiguration = 0;
  private isStopped = false;

  constructor(private readonly options: PeerExchangeOptions) {
    const { clock } = options;
    this.peers = new PeerTable(clock);
    const listPeers = (): PeerId[] => this.gossip.listPeers();
    const send = (peer: PeerId, message: ExchangeMessage): void => {
      this.links?.send(peer, message);
    };
    const broadcast = (message: ExchangeMessage, peers: PeerId[]): void =>
      this.links?.broadcast(message, peers);
    const shared = {
      ...options,
      self: options.id,
      peers: this.peers,
      listPeers,
      isPossiblySameStore: (peer: PeerId) => this.storeVerifier.isPossiblySameStore(peer),
      readMembership: () => this.members,
      send,
      broadcast,
    };
    this.storeVerifier = new PeerStoreVerifier({
      clock,
      store: options.storeAddress,
      seeds: options.seeds,
      readStoreMarks: options.readStoreMarks,
      onForeignPeer: (peer) => this.onForeignPeer(peer),
    });
    this.gossip = new Gossip({
      peers: this.peers,
      ...options,
      isChosenPeer: (peer) => this.members?.isChosenPeer(peer) ?? false,
      isInOtherRegion: (peer) => this.members?.isInOtherRegion(peer) ?? false,
      listUnreachableRegions: () => this.members?.listUnreachableRegions() ?? [],
      listRegionMembers: () => this.members?.listRegionMembers() ?? [],
      listAllMembers: () => this.members?.listAllMembers() ?? [],
      composeMarks: (peer) => this.storeVerifier.composeMarks(peer),
      broadcast,
    });
    this.reach = new ReachExchange({ ...shared, listLinkedPeers: () => this.peers.list() });
    this.retries = new RetryExchange({ ...options, listPeers, send });
    this.store = new StoreExchange({
      ...shared,
      isTrusted: (peer) => this.storeVerifier.isTrusted(peer),
      isLargeFleet: () => this.isLargeFleet,
      isStoreFollower: () => this.isStoreFollower,
    });
    this.load = new LoadExchange({
      ...shared,
      listSchedulers: () => this.members?.schedulers ?? [],
      preferReached: (vms, service) => this.reach.preferReached(vms, service),
      listRemoteSchedulers: () => this.members?.remoteSchedulers ?? [],
      isInOtherRegion: (peer) => this.members?.isInOtherRegion(peer) ?? false,
    });
    this.origins = new OriginExchange(shared);
    this.permits = new PermitExchange(shared);
    this.queues = new QueueExchange({ ...shared, reach: this.reach });
    this.targetUpdates = new TargetUpdateExchange({
      ...shared,
      listLinkedPeers: () => this.peers.list(),
    });
  }

  /**
   * Number of VMs including this one and those of unreachable regions; they share the retry budget.
   */
  get totalVmCount(): number {
    return this.members?.totalVmCount ?? 1;
  }

  /** Number of VMs that follow the store themselves while its updates arrive in time. */
  get storeFollowerCount(): number {
    return this.members?.storeFollowerCount ?? 1;
  }

  /** Whether this VM has to follow the store itself. */
  get mustFollowStore(): boolean {
    return this.store.mustFollowStore;
  }

  /** Whether other VMs rely on this one to follow the store. */
  get isStoreFollower(): boolean {
    return this.members?.isStoreFollower ?? false;
  }

  /**
   * Time in milliseconds for which this VM leaves the store to others before its first watch. It is
   * 0 for a seed, and if a large configuration has to be read.
   */
  get firstWatchDelayMs(): Millis {
    const { id, seeds } = this.options;
    if (seeds.length === 0 || seeds.includes(id) || this.store.needsLargeConfiguration) {
      return 0;
    }
    return this.isLargeFleet ? LARGE_FLEET_FIRST_WATCH_DELAY_MS : FIRST_WATCH_DELAY_MS;
  }

  /** Whether other VMs retry an unavailable store and can send this VM everything that it needs. */
  get delegatesStoreRetries(): boolean {
    return canDelegateStoreRetries({
      isLargeFleet: this.isLargeFleet,
      isStoreFollower: this.isStoreFollower,
      linkedPeers: this.peers.size,
      needsLargeConfiguration: this.store.needsLargeConfiguration,
    });
  }

  /** Time at which the store last answered any VM, as far as this VM knows. */
  get storeConfirmedAtMs(): Millis {
    return this.store.confirmedAtMs;
  }

  /** Records that the store answered this VM. */
  onStoreAnswered(): void {
    this.store.onStoreAnswered();
  }

  /** Accepts peers and starts the periodic rounds. */
  async start(): Promise<void> {
    const { id, incarnation, host, port, timers, region, seeds, clock, random } = this.options;
    this.links = await createPeerLinks<ExchangeMessage>({
      id,
      incarnation,
      secret: this.options.secret,
      host,
      port,
      timers,
      format: exchangeMessageFormat,
      onReady: (peer) => this.onReady(peer),
      onMessage: (peer, message) => this.onMessage(peer, message),
      onLinkLost: (peer) => this.onPeerLost(peer),
      onMessageDropped: () => undefined,
      onRequest: (message, response) => this.options.onRequest?.(message, response) ?? false,
      onMisdirected: (message) => this.options.onMisdirected?.(message),
    });
    const onRegionChange = (change: RegionChange): void =>
      this.options.log.write(change.isReachable ? 'region-in-sight' : 'region-away', {
        region: change.region,
        vms: change.vms,
      });
    const links = skipForeignPeers(this.links, this.storeVerifier);
    this.members = new Membership({
      self: id,
      region,
      seeds,
      links,
      clock,
      random,
      onRegionChange,
    });
    this.load.start();
    this.runRound(SECOND_ROUND_MS);
  }

  /** Handles a store that was replaced or reset; peers have to be verified again. */
  onStoreReplaced(): void {
    this.announcedConfiguration = 0;
    this.storeVerifier.reset();
  }

  /** Closes all links. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.retries.stop();
    await this.links?.close();
  }

  /** Schedules publication of a changed load. */
  onLoadChanged(): void {
    if (!this.isStopped) {
      this.load.onLoadChanged();
    }
  }

  /**
   * Requests a target for a stream. `receive` is called at once if there is no scheduler.
   * @returns a function that cancels the request
   */
  requestTargetAdvice(request: AdviceRequest, receive: (advice: Advice) => void): () => void {
    return this.load.requestAdvice(request, receive);
  }

  /** Linked VMs of this fleet to which requests for the service may be relayed. */
  listHelpers(service: string): PeerId[] {
    return this.peers
      .list()
      .filter((peer) => this.storeVerifier.isPossiblySameStore(peer))
      .filter((peer) => this.reach.isReachedBy(peer, service));
  }

  /** Publishes a target that this VM detected as lost. */
  publishLoss(target: string, loss: TargetLoss): void {
    this.targetUpdates.publishLoss(target, loss);
  }

  /** Publishes a quarantine update to all peers except the one from which it came. */
  publishQuarantineUpdate(update: QuarantineUpdate, from?: PeerId): void {
    this.targetUpdates.publishQuarantineUpdate(update, from);
  }

  /** Publishes leaving targets to all peers except the one from which they came. */
  publishLeaving(updates: LeavingUpdate[], from?: PeerId): void {
    this.targetUpdates.publishLeaving(updates, from);
  }

  /** Candidates for duties that one VM at a time performs; may include this VM. */
  get dutyCandidates(): readonly PeerId[] {
    return this.members?.dutyCandidates ?? [];
  }

  /**
   * Time since which this VM has no links to most of the VMs that it knows; undefined if it has.
   */
  get isolatedSinceMs(): Millis | undefined {
    return this.members?.isolatedSinceMs;
  }

  /** The linked duty candidates, with the time since which the link is up. */
  get linkedDutyCandidates(): LinkedPeer[] {
    return this.dutyCandidates.flatMap((peer) => {
      const linkedAtMs = this.peers.get(peer)?.linkedAtMs;
      return linkedAtMs === undefined ? [] : [{ peer, linkedAtMs }];
    });
  }

  /** Sends a report to one peer; it is lost if no link is up. */
  sendReport(peer: PeerId, report: PeerReport): void {
    this.links?.send(peer, report);
  }

  /** Sends a report to the other duty candidates. */
  sendReportToDutyCandidates(report: PeerReport): void {
    const { id } = this.options;
    const linked = this.dutyCandidates.filter(
      (peer) => peer !== id && this.peers.get(peer) !== undefined,
    );
    this.links?.broadcast(report, linked);
  }

  /** Sends a report to every linked VM. */
  sendReportToLinkedPeers(report: PeerReport): void {
    this.links?.broadcast(report, this.peers.list());
  }

  /** Sends a report to the gossip peers. */
  sendReportToGossipPeers(report: PeerReport): void {
    this.links?.broadcast(report, this.gossip.listPeers());
  }

  /**
   * Handles a change of the known store state; sends a heartbeat at once if the configuration is
   * new.
   */
  onSyncStateChanged(): void {
    const { configuration } = this.options.readSyncState();
    if (configuration > this.announcedConfiguration) {
      this.announcedConfiguration = configuration;
      this.gossip.sendHeartbeats(this.gossip.listPeers(), []);
    }
  }

  private get isLargeFleet(): boolean {
    return this.members?.isLargeFleet ?? false;
  }

  private runRound(nextMs: Millis = ROUND_MS): void {
    if (this.isStopped) {
      return;
    }
    this.peers.listSilent().forEach((peer) => this.dropPeer(peer));
    this.storeVerifier.findForeignPeers().forEach((peer) => this.dropPeer(peer));
    const members = this.members?.runRound() ?? [];
    this.gossip.sendHeartbeats(this.peers.list(), members);
    this.load.publishChanges();
    this.store.requestItemsIfDue();
    this.options.timers.after(nextMs, () => this.runRound());
  }

  private dropPeer(peer: PeerId): void {
    this.links?.disconnect(peer);
    this.onPeerLost(peer);
  }

  private onForeignPeer(peer: PeerId): void {
    this.options.log.write('peer-of-other-store', { peer });
    this.options.onForeignPeer(peer);
    this.members?.remove(peer);
  }

  private onReady(peer: PeerId): void {
    if (this.storeVerifier.isKnownForeign(peer)) {
      this.links?.disconnect(peer);
      return;
    }
    this.peers.add(peer);
    this.storeVerifier.add(peer);
    this.members?.recordContact(peer);
    this.options.log.write('peer-linked', { peer, peers: this.peers.size });
    this.gossip.sendHeartbeats([peer], []);
    this.targetUpdates.onLinked(peer);
    this.reach.onLinked(peer);
    this.permits.onLinked(peer);
    this.origins.onLinked(peer);
    this.load.onLinked(peer);
  }

  private onPeerLost(peer: PeerId): void {
    if (this.peers.remove(peer)) {
      this.storeVerifier.remove(peer);
      this.reach.onPeerLost(peer);
      this.options.log.write('peer-lost', { peer, peers: this.peers.size });
      this.load.onPeerLost(peer);
      this.permits.onPeerLost(peer);
      this.queues.onPeerLost(peer);
      this.origins.onPeerLost(peer);
    }
  }

  private onMessage(peer: PeerId, message: ExchangeMessage): void {
    if (!this.peers.recordMessage(peer)) {
      return;
    }
    this.members?.recordContact(peer);
    if (message.kind === 'unknown') {
      return;
    }
    try {
      this.dispatch(peer, message);
    } catch (thrown) {
      // An invalid message of one peer must not stop this VM.
      const reason = describeThrown(thrown);
      this.options.log.write('peer-message-failed', { peer, kind: message.kind, reason });
      this.options.onFault();
    }
  }

  private dispatch(peer: PeerId, message: SupportedMessage): void {
    switch (message.kind) {
      case 'heartbeat':
        this.onHeartbeat(peer, message);
        break;
      case 'pulse':
        this.gossip.onPeerChoice(peer, false);
        break;
      case 'load':
      case 'region-load':
      case 'want-target':
      case 'advise-target':
        this.load.onMessage(peer, message);
        break;
      case 'lost':
        this.permits.onPeerUpdate(peer, message);
        this.reach.onMessage(peer, message);
        this.targetUpdates.onMessage(peer, message);
        break;
      case 'store-news':
      case 'want-items':
      case 'items':
        this.store.onMessage(peer, message);
        break;
      case 'want-repeats':
      case 'lend-repeats':
        this.retries.onMessage(peer, message);
        break;
      default:
        this.dispatchForwarded(peer, message);
        break;
    }
  }

  /** Passes on messages that the exchange itself does not use. */
  private dispatchForwarded(
    peer: PeerId,
    message: PermitMessage | QueueMessage | OriginMessage | PeerReport,
  ): void {
    switch (message.kind) {
      case 'ask-permits':
      case 'give-permits':
      case 'return-permit':
        this.permits.onMessage(peer, message);
        break;
      case 'report-calls':
      case 'queue-state':
      case 'ask-places':
      case 'give-places':
      case 'release-place':
        this.queues.onMessage(peer, message);
        break;
      case 'origins':
      case 'want-origin':
      case 'give-origin':
        this.origins.onMessage(peer, message);
        break;
      default:
        this.options.onReport?.(peer, message);
        break;
    }
  }

  private withoutForeignPeers(members: GossipedMember[]): GossipedMember[] {
    return members.filter(({ id }) => !this.storeVerifier.isKnownForeign(id));
  }

  private onHeartbeat(peer: PeerId, message: ExchangeMessageOf<'heartbeat'>): void {
    this.storeVerifier.onMarks(peer, message.storeMarks);
    this.store.onPeerSyncState(peer, message);
    if (this.storeVerifier.isPossiblySameStore(peer)) {
      this.members?.setRegion(peer, message.region);
      this.members?.onMembersReceived(
        this.withoutForeignPeers(fromHeartbeatMembers(message)),
        message.hidden,
      );
      this.options.onPeerDemand?.(message.demand ?? [], peer);
    }
    this.gossip.onPeerChoice(peer, message.wanted);
    this.store.requestItemsIfDue();
  }
}
