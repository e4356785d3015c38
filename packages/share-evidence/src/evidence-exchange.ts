/**
 * The conversation of one VM with its peers. They tell each other their load on
 * every target and which targets they found lost, and give the store's items to
 * a VM that the store turns away.
 */
import { createPeerLinks, type PeerLinks } from '@limelead/peer-links';
import type { Millis } from '@limelead/types';
import CatchUp from './catch-up.js';
import LoadNews from './load-news.js';
import LossNews from './loss-news.js';
import type { MemberAge } from './member-book.js';
import mayLeaveTries from './may-leave-tries.js';
import Membership from './membership.js';
import RepeatLoans from './repeat-loans.js';
import StoreNews from './store-news.js';
import { evidenceMessageFormat, type EvidenceMessage, type EvidenceMessageOf } from './messages.js';
import type { EvidenceExchangeOptions, PeerId, PeerState } from './types.js';

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
/** A peer that said nothing for this long is dropped. */
const SILENT_PEER_MS = 3_200;
/** Links with a secret of their own would need a settings field that the platform lacks. */
const NO_SECRET = '';

/** Talks with peers. */
export default class EvidenceExchange {
  private links: PeerLinks<EvidenceMessage> | undefined;
  private readonly peers = new Map<PeerId, PeerState>();
  private members: Membership | undefined;
  private readonly loadNews: LoadNews;
  private readonly lossNews: LossNews;
  private readonly loans: RepeatLoans;
  private readonly catchUp: CatchUp;
  private readonly storeNews: StoreNews;
  /** Version of the configuration that peers were told last. */
  private toldConfiguration = 0;
  private isStopped = false;

  constructor(private readonly options: EvidenceExchangeOptions) {
    const { clock, timers, random } = options;
    const listPeers = (): PeerId[] => [...this.peers.keys()];
    this.loans = new RepeatLoans({
      clock,
      random,
      listPeers,
      ask: (peer, service, repeats) =>
        this.links?.send(peer, { kind: 'want-repeats', service, repeats }),
    });
    this.catchUp = new CatchUp({
      clock,
      timers,
      readKnowledge: options.readKnowledge,
      isFollowing: () => this.mustFollow,
      listPeers: () => [...this.peers],
      ask: (peer, since) => this.links?.send(peer, { kind: 'want-items', since }),
    });
    this.storeNews = new StoreNews({
      clock,
      readKnowledge: options.readKnowledge,
      listPeers,
      tell: (peer, news) => this.links?.send(peer, { kind: 'store-news', ...news }),
    });
    this.loadNews = new LoadNews({
      timers,
      listPeers,
      countVms: () => this.vmCount,
      readLoad: options.readLoad,
      tell: (peer, targets) => this.links?.send(peer, { kind: 'load', targets }),
    });
    this.lossNews = new LossNews({
      clock,
      timers,
      listPeers,
      tell: (peer, targets) => this.links?.send(peer, { kind: 'lost', targets }),
    });
  }

  /** VMs that are believed to run, this one included. */
  get vmCount(): number {
    return this.members?.count ?? 1;
  }

  /** VMs that ask the store themselves while news of it spread as they should. */
  get followerCount(): number {
    return this.members?.followerCount ?? 1;
  }

  /** Whether this VM has to ask the store itself. */
  get mustFollow(): boolean {
    return !this.isLarge || this.followsForOthers || !this.storeNews.isCurrent;
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
    if (seeds.length === 0 || seeds.includes(id) || this.storeNews.wantsLargeConfiguration) {
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
      wantsLargeConfiguration: this.storeNews.wantsLargeConfiguration,
    });
  }

  /** When the store last answered any VM, as far as this one heard. */
  get storeConfirmedAtMs(): Millis {
    return this.storeNews.lastConfirmedAtMs;
  }

  /** The store answered this VM. */
  noteStoreAnswered(): void {
    if (this.isLarge) {
      this.storeNews.confirm();
    }
  }

  /** Begins to talk. */
  async start(): Promise<void> {
    const { id, incarnation, host, port, timers, seeds, clock, random } = this.options;
    this.links = await createPeerLinks<EvidenceMessage>({
      id,
      incarnation,
      secret: NO_SECRET,
      host,
      port,
      timers,
      format: evidenceMessageFormat,
      onReady: (peer) => this.onReady(peer),
      onMessage: (peer, message) => this.onMessage(peer, message),
      onLost: (peer) => this.onPeerLost(peer),
      onDropped: () => undefined,
    });
    this.members = new Membership({ self: id, seeds, links: this.links, clock, random });
    this.beat(SECOND_ROUND_MS);
  }

  /** Ends all links. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.links?.close();
  }

  /** The load of this VM changed; its peers are told soon. */
  noteLoad(): void {
    if (!this.isStopped) {
      this.loadNews.note();
    }
  }

  /** This VM found a target lost. */
  noteLost(target: string): void {
    this.lossNews.take(target);
  }

  /** This VM has few repeats left for a service. */
  wantRepeats(service: string): void {
    this.loans.want(service);
  }

  /** What this VM knows of the store changed; a new configuration is told at once. */
  noteKnowledge(): void {
    const { configuration } = this.options.readKnowledge();
    if (configuration > this.toldConfiguration) {
      this.toldConfiguration = configuration;
      this.links?.broadcast(this.createHeartbeat([]));
    }
  }

  private get isLarge(): boolean {
    return this.members?.isLarge ?? false;
  }

  private beat(nextMs: Millis = ROUND_MS): void {
    if (this.isStopped) {
      return;
    }
    this.dropSilentPeers();
    const named = this.members?.tend() ?? [];
    this.links?.broadcast(this.createHeartbeat(named));
    this.catchUp.check();
    this.options.timers.after(nextMs, () => this.beat());
  }

  private dropSilentPeers(): void {
    const heardSince = this.options.clock.now() - SILENT_PEER_MS;
    for (const [peer, { heardAtMs }] of [...this.peers]) {
      if (heardAtMs < heardSince) {
        this.links?.drop(peer);
        this.onPeerLost(peer);
      }
    }
  }

  private onReady(peer: PeerId): void {
    const heardAtMs = this.options.clock.now();
    this.peers.set(peer, {
      failureDomain: '',
      heardAtMs,
      revision: 0,
      configuration: 0,
      configurationBytes: 0,
    });
    this.loadNews.forget(peer);
    this.members?.hearFrom(peer);
    this.options.log.write('peer-linked', { peer, peers: this.peers.size });
    this.links?.send(peer, this.createHeartbeat(this.members?.nameAll() ?? []));
  }

  private onPeerLost(peer: PeerId): void {
    if (this.peers.delete(peer)) {
      this.options.log.write('peer-lost', { peer, peers: this.peers.size });
      this.loadNews.forget(peer);
      this.options.onLoad(peer, new Map());
    }
  }

  private onMessage(peer: PeerId, message: EvidenceMessage): void {
    const state = this.peers.get(peer);
    if (state === undefined) {
      return;
    }
    state.heardAtMs = this.options.clock.now();
    this.members?.hearFrom(peer);
    switch (message.kind) {
      case 'heartbeat':
        this.onHeartbeat(peer, state, message);
        break;
      case 'load':
        this.options.onLoad(peer, new Map(message.targets.map((load) => [load.id, load])));
        break;
      case 'lost':
        message.targets
          .filter((target) => this.lossNews.take(target, peer))
          .forEach((target) => this.options.onLost(target));
        break;
      case 'store-news':
        this.onStoreNews(peer, state, message);
        break;
      case 'want-items':
        this.sendItems(peer, message.since);
        break;
      case 'want-repeats':
        this.lendRepeats(peer, message);
        break;
      case 'lend-repeats':
        this.options.onRepeats(message.service, message.repeats);
        break;
      case 'items':
        this.catchUp.noteAnswer();
        this.options.onUpdate(message);
        this.storeNews.noteCaughtUp();
        this.catchUp.check();
        break;
    }
  }

  private onStoreNews(peer: PeerId, state: PeerState, news: EvidenceMessageOf<'store-news'>): void {
    state.revision = Math.max(state.revision, news.revision);
    state.configuration = Math.max(state.configuration, news.configuration);
    state.configurationBytes = news.configurationBytes;
    this.storeNews.hear(peer, news);
    this.catchUp.check();
  }

  /** The peer gets what it lacks, once. */
  private sendItems(peer: PeerId, since: number): void {
    const items = this.options.listItems();
    const { revision } = this.options.readKnowledge();
    this.links?.send(peer, {
      kind: 'items',
      items: items.filter((item) => item.revision > since),
      keys: items.map(({ key }) => key),
      revision,
    });
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

  private onHeartbeat(
    peer: PeerId,
    state: PeerState,
    message: EvidenceMessageOf<'heartbeat'>,
  ): void {
    const isFirst = state.failureDomain === '';
    state.failureDomain = message.failureDomain;
    state.revision = message.revision;
    state.configuration = message.configuration;
    state.configurationBytes = message.configurationBytes;
    this.storeNews.noteConfiguration(message);
    this.members?.hear(message.members);
    if (isFirst) {
      this.loadNews.tellTo([peer]);
    }
    this.catchUp.check();
  }

  private createHeartbeat(members: MemberAge[]): EvidenceMessage {
    const { revision, configuration, configurationBytes } = this.options.readKnowledge();
    return {
      kind: 'heartbeat',
      failureDomain: this.options.failureDomain,
      members,
      revision,
      configuration,
      configurationBytes,
    };
  }
}
