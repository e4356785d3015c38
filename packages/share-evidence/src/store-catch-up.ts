/** Decides when a VM requests store items from a peer, and from which one. */
import { LARGE_ITEM_BYTES } from '@limelead/follow-store';
import type { Clock, Millis, Timers } from '@limelead/types';
import type { PeerId, PeerSyncState, StoreSyncState } from './types.js';

/** Interval between two requests for items while the store is unavailable, in milliseconds. */
const REQUEST_INTERVAL_MS = 400;
/**
 * Time after which a request counts as lost. A configuration of 1,500 routes takes half a second on
 * a link of 7 Mbit/s; a repeated request in that time would transfer it twice.
 */
const ANSWER_TIMEOUT_MS = 1_500;
/**
 * Time for which a peer may have a newer configuration while the store still answers this VM. After
 * it the VM's own watch is probably dead.
 */
const OUTDATED_AFTER_MS = 1_000;
/** The same for a large configuration, which takes longer to read. */
const LARGE_OUTDATED_AFTER_MS = 1_800;

/** Dependencies of `StoreCatchUp`. */
export interface StoreCatchUpOptions {
  clock: Clock;
  timers: Timers;
  readSyncState(): StoreSyncState;
  /** Whether this VM follows the store itself; in a large fleet a few VMs do so for all. */
  isFollowingStore(): boolean;
  listPeers(): (readonly [PeerId, PeerSyncState])[];
  /** Requests the items after a revision from a peer. */
  requestItems(peer: PeerId, since: number): void;
}

/** Requests items from peers while the store does not provide them. */
export default class StoreCatchUp {
  private requestedAtMs: Millis = -Infinity;
  private isAnswerPending = false;
  /** Time since which a peer has a newer configuration; undefined if none has. */
  private outdatedSinceMs: Millis | undefined;

  constructor(private readonly options: StoreCatchUpOptions) {}

  /** Requests items from the most current peer if a request is due. */
  requestItemsIfDue(): void {
    const { clock, requestItems } = this.options;
    const own = this.options.readSyncState();
    const now = clock.now();
    const newest = this.findNewest();
    const isLarge = (newest?.[1].configurationBytes ?? 0) >= LARGE_ITEM_BYTES;
    const waitMs = isLarge ? LARGE_OUTDATED_AFTER_MS : OUTDATED_AFTER_MS;
    this.trackOutdated(own, now, waitMs);
    const isOutdated = now - (this.outdatedSinceMs ?? now) >= waitMs;
    const isServedByStore = own.isStoreAnswering && this.options.isFollowingStore();
    // A starting VM reads a large configuration from the store, which has more bandwidth.
    const isStarting = isLarge && own.revision === 0 && !own.hasStoreCallFailed;
    const canWait = (isServedByStore || isStarting) && !isOutdated;
    if (canWait || now - this.requestedAtMs < this.minIntervalMs(own)) {
      return;
    }
    if (newest !== undefined && newest[1].revision > own.revision) {
      this.requestedAtMs = now;
      this.isAnswerPending = true;
      requestItems(newest[0], own.revision);
    }
  }

  /** Allows the next request, since another peer may be more current by now. */
  onItemsReceived(): void {
    this.isAnswerPending = false;
  }

  /** Minimum time between two requests; none for a VM that other VMs keep current. */
  private minIntervalMs({ isStoreAnswering }: StoreSyncState): Millis {
    if (this.isAnswerPending) {
      return ANSWER_TIMEOUT_MS;
    }
    return isStoreAnswering ? 0 : REQUEST_INTERVAL_MS;
  }

  private findNewest(): readonly [PeerId, PeerSyncState] | undefined {
    const peers = this.options.listPeers();
    return [...peers].sort(([, a], [, b]) => b.revision - a.revision)[0];
  }

  private trackOutdated(own: StoreSyncState, now: Millis, waitMs: Millis): void {
    const { listPeers, timers } = this.options;
    const isOutdated = listPeers().some(
      ([, { configuration }]) => configuration > own.configuration,
    );
    if (!isOutdated) {
      this.outdatedSinceMs = undefined;
    } else if (this.outdatedSinceMs === undefined) {
      this.outdatedSinceMs = now;
      timers.after(waitMs, () => this.requestItemsIfDue());
    }
  }
}
