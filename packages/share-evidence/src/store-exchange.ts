/** What VMs tell each other of the store: how new their knowledge is, and its items to those that lack them. */
import type { Clock, Millis, Timers } from '@limelead/types';
import CatchUp from './catch-up.js';
import type { EvidenceMessage, EvidenceMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import StoreNews from './store-news.js';
import type { EvidenceExchangeOptions, PeerId, PeerKnowledge } from './types.js';

/** What it needs. */
export interface StoreExchangeOptions extends Pick<
  EvidenceExchangeOptions,
  'readKnowledge' | 'readUpdate' | 'onUpdate'
> {
  clock: Clock;
  timers: Timers;
  peers: PeerTable;
  /** Peers with which news are shared. */
  listPeers(): PeerId[];
  /** Whether what a peer says of the store counts here. */
  isTrusted(peer: PeerId): boolean;
  /** Whether a few VMs follow the store for all. */
  isLarge(): boolean;
  /** Whether this VM is one of them. */
  followsForOthers(): boolean;
  send(peer: PeerId, message: EvidenceMessage): void;
  broadcast(message: EvidenceMessage, peers: PeerId[]): void;
}

/** Tells and takes news of the store. */
export default class StoreExchange {
  private readonly catchUp: CatchUp;
  private readonly news: StoreNews;

  constructor(private readonly options: StoreExchangeOptions) {
    const { clock, timers, readKnowledge, peers, listPeers, send, broadcast } = options;
    this.catchUp = new CatchUp({
      clock,
      timers,
      readKnowledge,
      isFollowing: () => this.mustFollow,
      listPeers: () => peers.readKnowledge(listPeers().filter(options.isTrusted)),
      ask: (peer, since) => send(peer, { kind: 'want-items', since }),
    });
    this.news = new StoreNews({
      clock,
      readKnowledge,
      listPeers,
      tell: (told, news) => broadcast({ kind: 'store-news', ...news }, told),
    });
  }

  /** Whether this VM has to ask the store itself. */
  get mustFollow(): boolean {
    const { isLarge, followsForOthers } = this.options;
    return !isLarge() || followsForOthers() || !this.news.isCurrent;
  }

  /** Whether this VM has to read a large configuration from the store itself. */
  get wantsLargeConfiguration(): boolean {
    return this.news.wantsLargeConfiguration;
  }

  /** When the store last answered any VM, as far as this one heard. */
  get confirmedAtMs(): Millis {
    return this.news.lastConfirmedAtMs;
  }

  /** The store answered this VM. */
  noteAnswered(): void {
    if (this.options.isLarge()) {
      this.news.confirm();
    }
  }

  /** Asks a peer for what this VM lacks, where it is time to. */
  check(): void {
    this.catchUp.check();
  }

  /** A peer knows so much of the store. */
  noteKnowledge(peer: PeerId, knowledge: PeerKnowledge): void {
    const { peers, isTrusted } = this.options;
    peers.noteKnowledge(peer, knowledge);
    if (isTrusted(peer)) {
      this.news.noteConfiguration(knowledge);
    }
  }

  /** A peer spoke of the store. */
  hear(peer: PeerId, message: EvidenceMessageOf<'store-news' | 'want-items' | 'items'>): void {
    if (message.kind === 'want-items') {
      this.answer(peer, message);
      return;
    }
    if (!this.options.isTrusted(peer)) {
      return;
    }
    if (message.kind === 'store-news') {
      this.hearNews(peer, message);
    } else {
      this.hearItems(peer, message);
    }
  }

  /** A peer has news. */
  private hearNews(peer: PeerId, news: EvidenceMessageOf<'store-news'>): void {
    this.options.peers.noteNews(peer, news);
    this.news.hear(peer, news);
    this.catchUp.check();
  }

  /** A peer gets what it lacks, once. */
  private answer(peer: PeerId, { since }: EvidenceMessageOf<'want-items'>): void {
    const { readUpdate, send } = this.options;
    const update = readUpdate(since);
    send(peer, { kind: 'items', ...update, present: update.present ?? null });
  }

  /** A peer gave what this VM lacked. */
  private hearItems(
    peer: PeerId,
    { items, gone, present, revision }: EvidenceMessageOf<'items'>,
  ): void {
    this.catchUp.noteAnswer();
    this.options.onUpdate({ items, gone, present: present ?? undefined, revision }, peer);
    this.news.noteCaughtUp();
    this.catchUp.check();
  }
}
