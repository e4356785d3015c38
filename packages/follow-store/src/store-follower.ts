/**
 * Follows the store: reads a list, then watches from its revision. After a gap in the history
 * the list is read again. While the store is unavailable, calls are retried with backoff, since
 * refused calls are billed like others.
 *
 * A watch returns every version of an item, a list only the newest. While a large item
 * changes, lists replace watches: a quick succession of versions would saturate the network link
 * of a small VM for longer than each version is valid.
 */
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { LARGE_ITEM_BYTES } from './large-items.js';
import { planRetryDelay, planWatchWait } from './plan-calls.js';
import type {
  StoreCallFailure,
  StoreChange,
  StoreChanges,
  StoreFault,
  StoreItem,
  StoreList,
  StoreOutage,
  StorePort,
} from './store-port.js';

/** Interval at which a VM that relies on peers checks whether it has to follow the store itself. */
const IDLE_CHECK_INTERVAL_MS = 100;
/** Bounds on the delay after changes, in which further changes collect for the next answer. */
const MIN_BATCH_DELAY_MS = 250;
const MAX_BATCH_DELAY_MS = 800;
/** The delay grows with the number of VMs that follow the store, to limit the total call rate. */
const BATCH_DELAY_MS_PER_VM = 10;
/** Interval between lists while a large item changes. */
const LARGE_ITEM_LIST_INTERVAL_MS = 800;
/**
 * Retry delay while many peers retry, too, and report when the store answers again. With 195 VMs,
 * one of them still retries about every 15 ms.
 */
const SHARED_RETRY_DELAY_MS = 3_000;
/** Delay after an answer that could not be processed; it causes a new list and may recur. */
const FAILED_STEP_DELAY_MS = 1_000;
/** Random fraction of a delay, so that VMs don't call the store simultaneously. */
const JITTER = 0.4;

/** Callbacks of a follower. */
export interface StoreFollowerEvents {
  onList(list: StoreList): void;
  /** Called after each watch, with an empty list if nothing changed. */
  onChanges(changes: StoreChanges): void;
  /**
   * The store's answer has a lower revision than this VM knew before the call. A store's
   * revision never decreases, so this is another store or this one was reset.
   */
  onRevisionDecreased(decrease: RevisionDecrease): void;
  /** Called on the first failure after a success. */
  onLost(fault: StoreFault): void;
  /** Called on each failure, including the first. */
  onCallFailed(failure: StoreCallFailure): void;
  /** Called on the first success after a failure. */
  onRegained(outage: StoreOutage): void;
  /** Processing an answer threw an exception. The list is read again after a delay. */
  onProcessingFailed(thrown: unknown): void;
  /** This VM starts to follow the store itself, or begins to rely on peers. */
  onFollowingChanged(isFollowing: boolean): void;
}

/** Options of `StoreFollower`. */
export interface StoreFollowerOptions {
  port: StorePort;
  /** Time within which this VM must receive a change that the store accepted, even if a call is lost. */
  maxStalenessMs: Millis;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Number of VMs that follow the store, including this one. */
  countFollowers(): number;
  /** Whether this VM must follow the store itself. */
  mustFollow(): boolean;
  /** Whether peers rely on this VM to follow the store. */
  followsForPeers(): boolean;
  /** Whether peers retry an unavailable store and can send this VM all changes. */
  peersRetry(): boolean;
  /** Revision up to which this VM has all changes, from the store or peers; 0 for none. */
  readRevision(): number;
  /**
   * Time after the first list to wait for peers that follow the store for this VM; 0 if
   * there are none. May change while waiting.
   */
  startupWaitMs(): number;
  events: StoreFollowerEvents;
}

/** A revision of the store that is lower than the known one. */
export interface RevisionDecrease {
  /** Known revision before the call. */
  known: number;
  /** Revision of the store's answer. */
  revision: number;
}

/** A failed call and its start. */
interface FailedCall extends Pick<StoreCallFailure, 'call' | 'fault' | 'waitMs'> {
  startedAtMs: Millis;
}

/** Follows the store until `stop` is called. */
export default class StoreFollower {
  private isStopped = false;
  private failures = 0;
  /** Start of the first of these failed calls. */
  private outageStartedAtMs: Millis = 0;
  /** When the store last answered; before its first answer, the creation of this follower. */
  private answeredAtMs: Millis;
  private isFollowing = true;
  /** Revision at which the next watch starts; undefined if a list must be read first. */
  private revision: number | undefined;
  /** False before the first list and after a gap in the history. */
  private isComplete = false;
  /** Newest revision of a large item; 0 for none. */
  private largeItemRevision = 0;
  private hasWatched = false;
  /** Whether the store has sent a list; items from peers must be compared with it. */
  private hasListed = false;
  /** Whether this VM waits for peers to follow the store; it requests updates from them meanwhile. */
  private isWaitingForPeers = false;

  constructor(private readonly options: StoreFollowerOptions) {
    this.answeredAtMs = options.clock.now();
  }

  /** When the store last answered this VM; before its first answer, the creation of this follower. */
  get lastAnswerAtMs(): Millis {
    return this.answeredAtMs;
  }

  /** Whether this VM receives changes from the store, and doesn't wait for peers. */
  get isReceivingChanges(): boolean {
    return this.failures === 0 && this.isComplete && !this.isWaitingForPeers;
  }

  /** Whether the last call failed. */
  get isStoreUnavailable(): boolean {
    return this.failures > 0;
  }

  /** Follows the store until `stop` is called. */
  async run(): Promise<void> {
    let pauseMs = 0;
    while (!this.isStopped) {
      const { isServedByPeers } = this;
      this.setFollowing(!isServedByPeers);
      pauseMs = isServedByPeers ? this.relyOnPeers() : await this.runStepGuarded(pauseMs);
      if (pauseMs > 0) {
        await delay(this.options.timers, pauseMs);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Waits until peers follow the store for this VM, or the time is over. Prevents VMs that
   * start or lose the store together from calling it simultaneously.
   */
  private async waitForPeers(readMaxWaitMs: () => number): Promise<void> {
    let waitedMs = 0;
    this.isWaitingForPeers = true;
    while (!this.isStopped && waitedMs < readMaxWaitMs() && !this.isServedByPeers) {
      await delay(this.options.timers, IDLE_CHECK_INTERVAL_MS);
      waitedMs += IDLE_CHECK_INTERVAL_MS;
    }
    this.isWaitingForPeers = false;
  }

  /** Whether peers follow the store for this VM. */
  get isServedByPeers(): boolean {
    return this.options.readRevision() > 0 && !this.options.mustFollow() && this.hasListed;
  }

  private setFollowing(isFollowing: boolean): void {
    if (isFollowing !== this.isFollowing) {
      this.isFollowing = isFollowing;
      this.options.events.onFollowingChanged(isFollowing);
    }
  }

  /** Ends an outage, since peers reach the store; returns the delay until the next check. */
  private relyOnPeers(): number {
    this.onSuccess();
    this.isComplete = true;
    // A watch from this revision would return every version of a large item.
    this.revision = this.largeItemRevision > 0 ? undefined : this.options.readRevision();
    return IDLE_CHECK_INTERVAL_MS;
  }

  /** Runs a step; an exception must not end the loop, or no change would be received again. */
  private async runStepGuarded(pausedMs: Millis): Promise<number> {
    try {
      return await this.runStep(pausedMs);
    } catch (thrown) {
      this.options.events.onProcessingFailed(thrown);
      this.revision = undefined;
      this.isComplete = false;
      return FAILED_STEP_DELAY_MS;
    }
  }

  /** Makes one call; returns the delay until the next. */
  private async runStep(pausedMs: Millis): Promise<number> {
    if (this.revision === undefined) {
      return this.readList();
    }
    return this.readChanges(Math.max(this.revision, this.options.readRevision()), pausedMs);
  }

  private async readList(): Promise<number> {
    const startedAtMs = this.options.clock.now();
    const known = this.options.readRevision();
    const list = await this.options.port.list();
    if (E.isLeft(list)) {
      return this.onFault({ call: 'list', waitMs: 0, fault: list.left, startedAtMs });
    }
    this.onSuccess();
    // Pages kept from a failed read may be older than updates from peers; the last page is not.
    const { revision, lastRevision = revision } = list.right;
    if (lastRevision < known) {
      this.options.events.onRevisionDecreased({ known, revision: lastRevision });
    }
    this.hasListed = true;
    const isStillChanging = this.recordLargeItems(list.right.items) && this.isComplete;
    this.isComplete = true;
    this.revision = isStillChanging ? undefined : list.right.revision;
    this.options.events.onList(list.right);
    this.recordAnswer();
    if (isStillChanging) {
      return LARGE_ITEM_LIST_INTERVAL_MS;
    }
    if (!this.hasWatched) {
      await this.waitForPeers(() => this.options.startupWaitMs());
    }
    return 0;
  }

  /** Records large items; returns whether one is newer than all recorded before. */
  private recordLargeItems(items: StoreItem[]): boolean {
    const before = this.largeItemRevision;
    for (const { value, revision } of items) {
      if (value.length >= LARGE_ITEM_BYTES) {
        this.largeItemRevision = Math.max(this.largeItemRevision, revision);
      }
    }
    return this.largeItemRevision > before;
  }

  private async readChanges(revision: number, pausedMs: Millis): Promise<number> {
    const waitMs = this.planWait(pausedMs);
    this.hasWatched = true;
    const startedAtMs = this.options.clock.now();
    const changes = await this.options.port.watch(revision, waitMs);
    if (E.isLeft(changes)) {
      return this.onFault({ call: 'watch', waitMs, fault: changes.left, startedAtMs });
    }
    this.onSuccess();
    if (changes.right.revision < revision) {
      return this.restart({ known: revision, revision: changes.right.revision });
    }
    this.revision = changes.right.revision;
    this.options.events.onChanges(changes.right);
    this.recordAnswer();
    if (changes.right.changes.length === 0) {
      return 0;
    }
    if (this.recordLargeItems(changes.right.changes.flatMap(toItems))) {
      this.revision = undefined;
      return LARGE_ITEM_LIST_INTERVAL_MS;
    }
    return this.batchDelayMs;
  }

  /** Starts over with a list; returns the delay until then. */
  private restart(decrease: RevisionDecrease): number {
    this.options.events.onRevisionDecreased(decrease);
    this.revision = undefined;
    this.isComplete = false;
    this.largeItemRevision = 0;
    return 0;
  }

  /** Called after the events of an answer, whose handlers may read the age of the previous answer. */
  private recordAnswer(): void {
    this.answeredAtMs = this.options.clock.now();
  }

  /** Before the first watch it is unknown whether peers rely on this VM. */
  private planWait(pausedMs: Millis): Millis {
    const { maxStalenessMs, followsForPeers } = this.options;
    const mayServePeers = !this.hasWatched || followsForPeers();
    return planWatchWait({
      maxStalenessMs,
      pausedMs,
      isStoreUnavailable: this.isStoreUnavailable,
      mayServePeers,
    });
  }

  private get batchDelayMs(): number {
    const delayMs = this.options.countFollowers() * BATCH_DELAY_MS_PER_VM;
    return Math.min(Math.max(delayMs, MIN_BATCH_DELAY_MS), MAX_BATCH_DELAY_MS);
  }

  private onSuccess(): void {
    const { failures } = this;
    if (failures > 0) {
      this.failures = 0;
      const awayMs = this.options.clock.now() - this.outageStartedAtMs;
      this.options.events.onRegained({ awayMs, failures });
    }
  }

  /** Handles a failed call; returns the delay until the next call. */
  private async onFault(failed: FailedCall): Promise<number> {
    if (failed.fault === 'history-gone') {
      this.revision = undefined;
      this.isComplete = false;
      this.reportFailure(failed, 0);
      return 0;
    }
    if (failed.fault === 'too-long') {
      // The same changes would come again; a list is read in pages.
      this.revision = undefined;
      this.isComplete = false;
    }
    this.failures += 1;
    if (this.failures === 1) {
      this.outageStartedAtMs = failed.startedAtMs;
      this.options.events.onLost(failed.fault);
    }
    const jitter = 1 - JITTER * this.options.random.next();
    if (this.options.peersRetry()) {
      const delayMs = SHARED_RETRY_DELAY_MS * jitter;
      this.reportFailure(failed, delayMs);
      await this.waitForPeers(() => delayMs);
      return 0;
    }
    const pauseMs = planRetryDelay(this.options.maxStalenessMs, this.failures) * jitter;
    this.reportFailure(failed, pauseMs);
    return pauseMs;
  }

  private reportFailure({ startedAtMs, ...failed }: FailedCall, pauseMs: Millis): void {
    const { clock, events } = this.options;
    const { failures } = this;
    events.onCallFailed({ ...failed, afterMs: clock.now() - startedAtMs, failures, pauseMs });
  }
}

function toItems(change: StoreChange): StoreItem[] {
  return change.kind === 'put' ? [change.item] : [];
}
