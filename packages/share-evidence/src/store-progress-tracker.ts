/**
 * Spreads the progress of the few VMs that follow the store to all others. Each report holds the
 * revision and the time since the store confirmed it, so that a VM knows how old its own state may
 * be. A VM whose reports are late follows the store itself until reports arrive again.
 */
import { LARGE_ITEM_BYTES } from '@limelead/follow-store';
import type { Clock, Millis } from '@limelead/types';
import type { PeerId, PeerSyncState, StoreSyncState } from './types.js';

/**
 * Age of the last report from which a VM follows the store itself, in milliseconds. It is below the
 * 2 s within which a VM has to learn of a leaving target.
 */
const STALE_AFTER_MS = 1_700;
/**
 * Minimum time between two forwarded reports of the same revision, in milliseconds. It is shorter
 * than a follower's watch of 0.8 s, so that none of its answers is dropped.
 */
const FORWARD_INTERVAL_MS = 700;

/** What one VM reports to another about the store. */
export interface StoreProgress {
  revision: number;
  /** Version of the configuration at that revision. */
  configuration: number;
  configurationBytes: number;
  /** Milliseconds since the store confirmed that revision. */
  ageMs: Millis;
}

interface PendingProgress {
  from: PeerId;
  revision: number;
  confirmedAtMs: Millis;
}

/** Dependencies of `StoreProgressTracker`. */
export interface StoreProgressTrackerOptions {
  clock: Clock;
  readSyncState(): StoreSyncState;
  listPeers(): PeerId[];
  send(peers: PeerId[], progress: StoreProgress): void;
}

/** Receives progress and forwards it. */
export default class StoreProgressTracker {
  private confirmedAtMs: Millis = -Infinity;
  private publishedConfirmedAtMs: Millis = -Infinity;
  private publishedRevision = 0;
  /** Progress with a revision that this VM has not reached yet. */
  private pending: PendingProgress | undefined;
  /** Version of a large configuration that this VM has to read from the store itself. */
  private requiredConfiguration = 0;

  constructor(private readonly options: StoreProgressTrackerOptions) {}

  /** Time at which the store last answered any VM, as far as this VM knows; -Infinity if never. */
  get lastConfirmedAtMs(): Millis {
    return this.confirmedAtMs;
  }

  /** Whether other VMs keep this VM's store state current. */
  get isCurrent(): boolean {
    const { clock } = this.options;
    return clock.now() - this.confirmedAtMs < STALE_AFTER_MS && !this.needsLargeConfiguration;
  }

  /** Whether this VM has to read a large configuration from the store itself. */
  get needsLargeConfiguration(): boolean {
    return this.options.readSyncState().configuration < this.requiredConfiguration;
  }

  /** Records an answer of the store, which confirms that this VM is current. */
  onStoreAnswered(): void {
    this.confirmedAtMs = this.options.clock.now();
    this.publish();
  }

  /** Records the progress that a peer reports; it counts once this VM has reached its revision. */
  onProgress(from: PeerId, progress: StoreProgress): void {
    this.recordPeerConfiguration(progress);
    const confirmedAtMs = this.options.clock.now() - Math.max(0, progress.ageMs);
    if (this.pending === undefined || progress.revision >= this.pending.revision) {
      this.pending = { from, revision: progress.revision, confirmedAtMs };
    }
    this.applyPendingProgress();
  }

  /** Records the configuration of a peer; a large one has to be read from the store. */
  recordPeerConfiguration({ configuration, configurationBytes }: PeerSyncState): void {
    const isNew = configuration > this.options.readSyncState().configuration;
    if (isNew && configurationBytes >= LARGE_ITEM_BYTES) {
      this.requiredConfiguration = Math.max(this.requiredConfiguration, configuration);
    }
  }

  /** Applies pending progress if this VM has reached its revision by now. */
  applyPendingProgress(): void {
    const { pending } = this;
    if (pending !== undefined && this.options.readSyncState().revision >= pending.revision) {
      this.pending = undefined;
      this.confirmedAtMs = Math.max(this.confirmedAtMs, pending.confirmedAtMs);
      this.publish(pending.from);
    }
  }

  private publish(except?: PeerId): void {
    const { clock, listPeers, readSyncState, send } = this.options;
    const { revision, configuration, configurationBytes } = readSyncState();
    const isNewer =
      revision > this.publishedRevision ||
      this.confirmedAtMs >= this.publishedConfirmedAtMs + FORWARD_INTERVAL_MS;
    if (!isNewer) {
      return;
    }
    this.publishedRevision = revision;
    this.publishedConfirmedAtMs = this.confirmedAtMs;
    const ageMs = Math.round(clock.now() - this.confirmedAtMs);
    const peers = listPeers().filter((peer) => peer !== except);
    send(peers, { revision, configuration, configurationBytes, ageMs });
  }
}
