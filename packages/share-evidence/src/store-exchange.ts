/**
 * Exchanges the progress of store followers between VMs, and sends store items to those that lack
 * them.
 */
import type { Clock, Millis, Timers } from '@limelead/types';
import StoreCatchUp from './store-catch-up.js';
import type { ExchangeMessage, ExchangeMessageOf } from './messages.js';
import type PeerTable from './peer-table.js';
import StoreProgressTracker from './store-progress-tracker.js';
import type { PeerExchangeOptions, PeerId, PeerSyncState } from './types.js';

/** Dependencies of `StoreExchange`. */
export interface StoreExchangeOptions extends Pick<
  PeerExchangeOptions,
  'readSyncState' | 'readStoreUpdate' | 'onStoreUpdate'
> {
  clock: Clock;
  timers: Timers;
  peers: PeerTable;
  /** Peers with which progress is shared. */
  listPeers(): PeerId[];
  /** Whether what a peer reports about the store is used here. */
  isTrusted(peer: PeerId): boolean;
  /** Whether a few VMs follow the store for all. */
  isLargeFleet(): boolean;
  /** Whether this VM is one of them. */
  isStoreFollower(): boolean;
  send(peer: PeerId, message: ExchangeMessage): void;
  broadcast(message: ExchangeMessage, peers: PeerId[]): void;
}

/** Publishes and receives progress and items of the store. */
export default class StoreExchange {
  private readonly catchUp: StoreCatchUp;
  private readonly progress: StoreProgressTracker;

  constructor(private readonly options: StoreExchangeOptions) {
    const { clock, timers, readSyncState, peers, listPeers, send, broadcast } = options;
    this.catchUp = new StoreCatchUp({
      clock,
      timers,
      readSyncState,
      isFollowingStore: () => this.mustFollowStore,
      listPeers: () => peers.listSyncStates(listPeers().filter(options.isTrusted)),
      requestItems: (peer, since) => send(peer, { kind: 'want-items', since }),
    });
    this.progress = new StoreProgressTracker({
      clock,
      readSyncState: readSyncState,
      listPeers,
      send: (recipients, progress) => broadcast({ kind: 'store-news', ...progress }, recipients),
    });
  }

  /** Whether this VM has to follow the store itself. */
  get mustFollowStore(): boolean {
    const { isLargeFleet, isStoreFollower } = this.options;
    return !isLargeFleet() || isStoreFollower() || !this.progress.isCurrent;
  }

  /** Whether this VM has to read a large configuration from the store itself. */
  get needsLargeConfiguration(): boolean {
    return this.progress.needsLargeConfiguration;
  }

  /** Time at which the store last answered any VM, as far as this VM knows. */
  get confirmedAtMs(): Millis {
    return this.progress.lastConfirmedAtMs;
  }

  /** Records that the store answered this VM. */
  onStoreAnswered(): void {
    if (this.options.isLargeFleet()) {
      this.progress.onStoreAnswered();
    }
  }

  /** Requests missing items from a peer if a request is due. */
  requestItemsIfDue(): void {
    this.catchUp.requestItemsIfDue();
  }

  /** Records the store state that a peer reports in a heartbeat. */
  onPeerSyncState(peer: PeerId, state: PeerSyncState): void {
    const { peers, isTrusted } = this.options;
    peers.setSyncState(peer, state);
    if (isTrusted(peer)) {
      this.progress.recordPeerConfiguration(state);
    }
  }

  /** Handles a message about the store. */
  onMessage(peer: PeerId, message: ExchangeMessageOf<'store-news' | 'want-items' | 'items'>): void {
    if (message.kind === 'want-items') {
      this.answerRequest(peer, message);
      return;
    }
    if (!this.options.isTrusted(peer)) {
      return;
    }
    if (message.kind === 'store-news') {
      this.onProgress(peer, message);
    } else {
      this.onItems(peer, message);
    }
  }

  /** Handles the progress that a peer reports. */
  private onProgress(peer: PeerId, progress: ExchangeMessageOf<'store-news'>): void {
    this.options.peers.advanceSyncState(peer, progress);
    this.progress.onProgress(peer, progress);
    this.catchUp.requestItemsIfDue();
  }

  /** Sends a peer the items that it lacks. */
  private answerRequest(peer: PeerId, { since }: ExchangeMessageOf<'want-items'>): void {
    const { readStoreUpdate, send } = this.options;
    const update = readStoreUpdate(since);
    send(peer, { kind: 'items', ...update, present: update.present ?? null });
  }

  /** Applies the items that a peer sent. */
  private onItems(
    peer: PeerId,
    { items, gone, present, revision }: ExchangeMessageOf<'items'>,
  ): void {
    this.catchUp.onItemsReceived();
    this.options.onStoreUpdate({ items, gone, present: present ?? undefined, revision }, peer);
    this.progress.applyPendingProgress();
    this.catchUp.requestItemsIfDue();
  }
}
