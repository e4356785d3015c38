/**
 * The conversation of one VM with its peers. They tell each other their load on
 * every target and which targets they found lost, advise each other where streams go,
 * and give the store's items to a VM that the store turns away.
 */
import { describeThrown } from '@limelead/errors';
import { createPeerLinks, type PeerLinks } from '@limelead/peer-links';
import type { PermitMessage } from '@limelead/permit-sends';
import type { QuarantineUpdate } from '@limelead/quarantine-requests';
import type { LeavingUpdate } from '@limelead/track-backpressure';
import type { TargetLoss } from '@limelead/track-service-targets';
import type { Advice, AdviceRequest, Millis } from '@limelead/types';
import Gossip from './gossip.js';
import LoadExchange from './load-exchange.js';
import type { MemberAge } from './member-book.js';
import mayLeaveTries from './may-leave-tries.js';
import Membership from './membership.js';
import { readNamedMembers } from './named-members.js';
import PeerTable from './peer-table.js';
import PermitExchange from './permit-exchange.js';
import RepeatLoans from './repeat-loans.js';
import SameStore from './same-store.js';
import type { RegionNotice } from './region-sizes.js';
import StoreExchange from './store-exchange.js';
import TargetNews from './target-news.js';
import {
  evidenceMessageFormat,
  type EvidenceMessage,
  type EvidenceMessageOf,
  type KnownMessage,
} from './messages.js';
import type { PeerReport } from './report-messages.js';
import type { EvidenceExchangeOptions, LinkedPeer, PeerId } from './types.js';

/** Time between two rounds: heartbeats, links, members. */
const ROUND_MS = 1_000;
/**
 * Time to the second round. The users' VMs start within 0.3 s of each other; by
 * then all of them have met the seeds, which name them to each other.
 */
const SECOND_ROUND_MS = 400;
/**
 * Time in which a VM that has listed the store hears from its seeds whether the
 * fleet is a large one, in milliseconds: their links are up within 50.
 */
const START_WAIT_MS = 100;
/** The same in a large fleet: until the third round shows which VMs follow the store. */
const LARGE_START_WAIT_MS = 1_500;

/** Talks with peers. */
export default class EvidenceExchange {
  private links: PeerLinks<EvidenceMessage> | undefined;
  private readonly peers: PeerTable;
  private members: Membership | undefined;
  private readonly gossip: Gossip;
  private readonly load: LoadExchange;
  private readonly targetNews: TargetNews;
  private readonly loans: RepeatLoans;
  private readonly store: StoreExchange;
  private readonly sameStore: SameStore;
  /** Limits that targets name, and permits. */
  readonly permits: PermitExchange;
  /** Version of the configuration that peers were told last. */
  private toldConfiguration = 0;
  private isStopped = false;

  constructor(private readonly options: EvidenceExchangeOptions) {
    const { clock, random } = options;
    this.peers = new PeerTable(clock);
    const listPeers = (): PeerId[] => this.gossip.listPeers();
    const send = (peer: PeerId, message: EvidenceMessage): void => {
      this.links?.send(peer, message);
    };
    const broadcast = (message: EvidenceMessage, peers: PeerId[]): void =>
      this.links?.broadcast(message, peers);
    this.sameStore = new SameStore({
      clock,
      store: options.storeAddress,
      seeds: options.seeds,
      readMarks: options.readMarks,
      onStranger: (peer) => this.onStranger(peer),
    });
    this.gossip = new Gossip({
      peers: this.peers,
      readKnowledge: options.readKnowledge,
      region: options.region,
      isChosen: (peer) => this.members?.isChosenPeer(peer) ?? false,
      isDistant: (peer) => this.members?.isDistant(peer) ?? false,
      listHidden: () => this.members?.listHidden() ?? [],
      nameRegion: () => this.members?.nameRegion() ?? [],
      nameAll: () => this.members?.nameAll() ?? [],
      composeMarks: (peer) => this.sameStore.compose(peer),
      broadcast,
    });
    this.loans = new RepeatLoans({
      clock,
      random,
      listPeers,
      ask: (peer, service, repeats) => send(peer, { kind: 'want-repeats', service, repeats }),
    });
    this.store = new StoreExchange({
      ...options,
      peers: this.peers,
      listPeers,
      isTrusted: (peer) => this.sameStore.isTrusted(peer),
      isLarge: () => this.isLarge,
      followsForOthers: () => this.followsForOthers,
      send,
      broadcast,
    });
    this.load = new LoadExchange({
      ...options,
      self: options.id,
      peers: this.peers,
      listSchedulers: () => this.members?.schedulers ?? [],
      listLoadReaders: () => this.members?.loadReaders ?? [],
      isDistant: (peer) => this.members?.isDistant(peer) ?? false,
      send,
      broadcast,
    });
    this.permits = new PermitExchange({
      ...options,
      self: options.id,
      peers: this.peers,
      listPeers,
      isPossible: (peer) => this.sameStore.isPossible(peer),
      readMembership: () => this.members,
      send,
      broadcast,
    });
    this.targetNews = new TargetNews({
      ...options,
      listPeers,
      isPossible: (peer) => this.sameStore.isPossible(peer),
      send,
      broadcast,
    });
  }

  /** VMs that share the retry budget, this one included, with those of regions that can't be reached. */
  get vmCount(): number {
    return this.members?.budgetCount ?? 1;
  }

  /** VMs that ask the store themselves while news of it spread as they should. */
  get followerCount(): number {
    return this.members?.followerCount ?? 1;
  }

  /** Whether this VM has to ask the store itself. */
  get mustFollow(): boolean {
    return this.store.mustFollow;
  }

  /** Whether others rely on this VM to follow the store. */
  get followsForOthers(): boolean {
    return this.members?.followsForOthers ?? false;
  }

  /**
   * Milliseconds in which this VM waits for others to follow the store before its
   * first watch; 0 for a seed, and where a large configuration has to be read.
   */
  get startWaitMs(): Millis {
    const { id, seeds } = this.options;
    if (seeds.length === 0 || seeds.includes(id) || this.store.wantsLargeConfiguration) {
      return 0;
    }
    return this.isLarge ? LARGE_START_WAIT_MS : START_WAIT_MS;
  }

  /** Whether others try a store that is away, and can tell this VM all that it needs. */
  get othersTry(): boolean {
    return mayLeaveTries({
      isLarge: this.isLarge,
      followsForOthers: this.followsForOthers,
      peers: this.peers.size,
      wantsLargeConfiguration: this.store.wantsLargeConfiguration,
    });
  }

  /** When the store last answered any VM, as far as this one heard. */
  get storeConfirmedAtMs(): Millis {
    return this.store.confirmedAtMs;
  }

  /** The store answered this VM. */
  noteStoreAnswered(): void {
    this.store.noteAnswered();
  }

  /** Begins to talk. */
  async start(): Promise<void> {
    const { id, incarnation, host, port, timers, region, seeds, clock, random } = this.options;
    this.links = await createPeerLinks<EvidenceMessage>({
      id,
      incarnation,
      secret: this.options.secret,
      host,
      port,
      timers,
      format: evidenceMessageFormat,
      onReady: (peer) => this.onReady(peer),
      onMessage: (peer, message) => this.onMessage(peer, message),
      onLost: (peer) => this.onPeerLost(peer),
      onDropped: () => undefined,
      onMisdirected: (message) => this.options.onMisdirected?.(message),
    });
    const onRegion = (notice: RegionNotice): void =>
      this.options.log.write(notice.isInSight ? 'region-in-sight' : 'region-away', {
        region: notice.region,
        vms: notice.vms,
      });
    const links = this.avoidStrangers(this.links);
    this.members = new Membership({ self: id, region, seeds, links, clock, random, onRegion });
    this.load.start();
    this.beat(SECOND_ROUND_MS);
  }

  /** A VM that follows another store is not linked to, though seeds or members name it. */
  private avoidStrangers(links: PeerLinks<EvidenceMessage>): PeerLinks<EvidenceMessage> {
    return {
      ...links,
      open: (peers) => links.open(peers.filter(({ id }) => !this.sameStore.isAvoided(id))),
    };
  }

  /** What this VM knew of the store was not what its store holds; peers have to prove themselves anew. */
  forgetStore(): void {
    this.toldConfiguration = 0;
    this.sameStore.forget();
  }

  /** Ends all links. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.links?.close();
  }

  /** The load of this VM changed; its peers are told soon. */
  noteLoad(): void {
    if (!this.isStopped) {
      this.load.note();
    }
  }

  /** Asks where a stream should go; answered at once where there is nobody to ask. */
  askTarget(request: AdviceRequest, receive: (advice: Advice) => void): () => void {
    return this.load.ask(request, receive);
  }

  /** This VM found a target lost. */
  noteLost(target: string, loss: TargetLoss): void {
    this.targetNews.onLost(target, loss);
  }

  /** Tells peers of requests that may end targets, the one that told it aside. */
  tellGuardNews(news: QuarantineUpdate, from?: PeerId): void {
    this.targetNews.publishGuardNews(news, from);
  }

  /** Publishes leaving targets to all peers except the one that they came from. */
  publishLeaving(facts: LeavingUpdate[], from?: PeerId): void {
    this.targetNews.publishLeaving(facts, from);
  }

  /** This VM has few repeats left for a service. */
  wantRepeats(service: string): void {
    this.loans.want(service);
  }

  /** The VMs that stand for duties of one VM at a time, which may include this one. */
  get dutyCandidates(): readonly PeerId[] {
    return this.members?.dutyCandidates ?? [];
  }

  /** Since when this VM has no links to most of the others that it knows; undefined where it has. */
  get cutOffSinceMs(): Millis | undefined {
    return this.members?.cutOffSinceMs;
  }

  /** Those of them to which a link is up, with the time since which it is. */
  get linkedCandidates(): LinkedPeer[] {
    return this.dutyCandidates.flatMap((peer) => {
      const linkedAtMs = this.peers.get(peer)?.linkedAtMs;
      return linkedAtMs === undefined ? [] : [{ peer, linkedAtMs }];
    });
  }

  /** Gives a report to one peer; lost where no link to it is up. */
  reportTo(peer: PeerId, report: PeerReport): void {
    this.links?.send(peer, report);
  }

  /** Gives a report to the VMs that stand for duties, this one aside. */
  reportToCandidates(report: PeerReport): void {
    const { id } = this.options;
    const linked = this.dutyCandidates.filter(
      (peer) => peer !== id && this.peers.get(peer) !== undefined,
    );
    this.links?.broadcast(report, linked);
  }

  /** Gives a report to every VM to which a link is up. */
  reportToLinked(report: PeerReport): void {
    this.links?.broadcast(report, this.peers.list());
  }

  /** Gives a report to the peers with which gossip is shared. */
  reportToPeers(report: PeerReport): void {
    this.links?.broadcast(report, this.gossip.listPeers());
  }

  /** What this VM knows of the store changed; a new configuration is told at once. */
  noteKnowledge(): void {
    const { configuration } = this.options.readKnowledge();
    if (configuration > this.toldConfiguration) {
      this.toldConfiguration = configuration;
      this.gossip.beat(this.gossip.listPeers(), []);
    }
  }

  private get isLarge(): boolean {
    return this.members?.isLarge ?? false;
  }

  private beat(nextMs: Millis = ROUND_MS): void {
    if (this.isStopped) {
      return;
    }
    this.peers.listSilent().forEach((peer) => this.drop(peer));
    this.sameStore.findStrangers().forEach((peer) => this.drop(peer));
    const named = this.members?.tend() ?? [];
    this.gossip.beat(this.peers.list(), named);
    this.load.tell();
    this.store.check();
    this.options.timers.after(nextMs, () => this.beat());
  }

  private drop(peer: PeerId): void {
    this.links?.drop(peer);
    this.onPeerLost(peer);
  }

  private onStranger(peer: PeerId): void {
    this.options.log.write('peer-of-other-store', { peer });
    this.options.onStranger(peer);
    this.members?.forget(peer);
  }

  private onReady(peer: PeerId): void {
    if (this.sameStore.isAvoided(peer)) {
      this.links?.drop(peer);
      return;
    }
    this.peers.add(peer);
    this.sameStore.add(peer);
    this.members?.hearFrom(peer);
    this.options.log.write('peer-linked', { peer, peers: this.peers.size });
    this.gossip.beat([peer], []);
    this.targetNews.onLinked(peer);
    this.permits.noteLinked(peer);
    this.load.noteLinked(peer);
  }

  private onPeerLost(peer: PeerId): void {
    if (this.peers.remove(peer)) {
      this.sameStore.remove(peer);
      this.options.log.write('peer-lost', { peer, peers: this.peers.size });
      this.load.noteLost(peer);
      this.permits.noteLost(peer);
    }
  }

  private onMessage(peer: PeerId, message: EvidenceMessage): void {
    if (!this.peers.hear(peer)) {
      return;
    }
    this.members?.hearFrom(peer);
    if (message.kind === 'unknown') {
      return;
    }
    try {
      this.dispatch(peer, message);
    } catch (thrown) {
      // What one peer says must not end this VM; the next message may be a better one.
      const reason = describeThrown(thrown);
      this.options.log.write('peer-message-failed', { peer, kind: message.kind, reason });
      this.options.onFault();
    }
  }

  private dispatch(peer: PeerId, message: KnownMessage): void {
    switch (message.kind) {
      case 'heartbeat':
        this.onHeartbeat(peer, message);
        break;
      case 'pulse':
        this.gossip.hear(peer, false);
        break;
      case 'load':
      case 'region-load':
      case 'want-target':
      case 'advise-target':
        this.load.hear(peer, message);
        break;
      case 'lost':
        this.permits.onPeerUpdate(peer, message);
        this.targetNews.onMessage(peer, message);
        break;
      case 'store-news':
      case 'want-items':
      case 'items':
        this.store.hear(peer, message);
        break;
      case 'want-repeats':
        this.lendRepeats(peer, message);
        break;
      case 'lend-repeats':
        this.options.onRepeats(message.service, message.repeats);
        break;
      default:
        this.passOn(peer, message);
        break;
    }
  }

  /** What the exchange carries and does not read. */
  private passOn(peer: PeerId, message: PermitMessage | PeerReport): void {
    switch (message.kind) {
      case 'ask-permits':
      case 'give-permits':
      case 'return-permit':
        this.permits.hear(peer, message);
        break;
      default:
        this.options.onReport?.(peer, message);
        break;
    }
  }

  private lendRepeats(
    peer: PeerId,
    { service, repeats: wanted }: EvidenceMessageOf<'want-repeats'>,
  ): void {
    const repeats = this.options.lendRepeats(service, wanted);
    if (repeats > 0) {
      this.links?.send(peer, { kind: 'lend-repeats', service, repeats });
    }
  }

  private withoutStrangers(members: MemberAge[]): MemberAge[] {
    return members.filter(({ id }) => !this.sameStore.isAvoided(id));
  }

  private onHeartbeat(peer: PeerId, message: EvidenceMessageOf<'heartbeat'>): void {
    this.sameStore.hear(peer, message.storeMarks);
    this.store.noteKnowledge(peer, message);
    if (this.sameStore.isPossible(peer)) {
      this.members?.locate(peer, message.region);
      this.members?.hear(this.withoutStrangers(readNamedMembers(message)), message.hidden);
    }
    this.gossip.hear(peer, message.wanted);
    this.store.check();
  }
}
