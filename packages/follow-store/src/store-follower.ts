/**
 * Follows the store. A list is followed by watches from its revision. After a
 * gap in the history the list is read again. While the store is away the pause
 * between two tries grows, since refused calls are paid for like others.
 *
 * A watch gives every version of an item, a list only the newest. While a large
 * item changes, lists are read in place of watches, or a quick succession of
 * versions would fill the link of a small VM for longer than each one is in force.
 */
import { delay, type Clock, type Millis, type Random, type Timers } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { LARGE_ITEM_BYTES } from './large-items.js';
import { planRetryPause, planWatchWait } from './plan-calls.js';
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

/** Pause between two looks whether this VM has to follow the store itself again. */
const IDLE_CHECK_MS = 100;
/** Pause after changes came, in which further ones gather into the next answer. */
const LEAST_GATHER_MS = 250;
const LONGEST_GATHER_MS = 800;
/** The pause grows with the VMs that follow the store, which all pay for their calls. */
const GATHER_MS_OF_ONE_VM = 10;
/** Pause between two lists while a large item changes. */
const LARGE_PAUSE_MS = 800;
/**
 * Pause of a VM while many others try as well and tell it when the store is back.
 * With 195 VMs some VM still tries every 15 ms, and none is alone for longer than
 * the 4 s after which the users' larger sites take it to be in touch again.
 */
const SHARED_PAUSE_MS = 3_000;
/** Pause behind an answer that could not be taken: such a one costs a list, and may come again. */
const FAILED_STEP_PAUSE_MS = 1_000;
/** Part of a pause that is drawn at random, so that VMs do not all ask at once. */
const JITTER = 0.4;

/** What the owner of a follower is told. */
export interface StoreFollowerEvents {
  onList(list: StoreList): void;
  /** Changes, or none where nothing changed during a watch. */
  onChanges(changes: StoreChanges): void;
  /**
   * The store's answer is from a revision that lies before what this VM knew when it asked.
   * A store never goes back, so that was of another one, or this one began anew.
   */
  onBehind(behind: StoreBehind): void;
  /** The first failure after a success. */
  onLost(fault: StoreFault): void;
  /** Each failure, the first one included. */
  onCallFailed(failure: StoreCallFailure): void;
  /** The first success after a failure. */
  onRegained(outage: StoreOutage): void;
  /** Taking an answer failed by a fault of this program; it is listed anew behind a pause. */
  onStepFailed(thrown: unknown): void;
  /** This VM begins to follow the store itself, or leaves that to others. */
  onFollowing(isFollowing: boolean): void;
}

/** What a follower needs. */
export interface StoreFollowerOptions {
  port: StorePort;
  /**
   * Time within which this VM has to know what the store accepted, in milliseconds, also
   * where a call was lost meanwhile; the users promise it to their operators.
   */
  noticeWithinMs: Millis;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** VMs that follow the store, this one included. */
  countFollowers(): number;
  /** Whether this VM has to follow the store itself now. */
  mustFollow(): boolean;
  /** Whether other VMs rely on this one's answers, which then may not be old. */
  followsForOthers(): boolean;
  /** Whether others try the store while it is away, and can tell this VM all that it needs. */
  othersTry(): boolean;
  /** Revision up to which this VM knows everything, from wherever; 0 for nothing. */
  readRevision(): number;
  /**
   * Milliseconds behind the first list in which it may turn out that others follow
   * the store for this VM, as far as it knows by now; 0 where nobody else would.
   */
  startWaitMs(): number;
  events: StoreFollowerEvents;
}

/** How far the store is behind what was known of it. */
export interface StoreBehind {
  /** Revision that was known before the call. */
  known: number;
  /** The store's own. */
  revision: number;
}

/** A call that failed just now. */
interface FailedCall extends Pick<StoreCallFailure, 'call' | 'fault' | 'waitMs'> {
  calledAtMs: Millis;
}

/** Follows the store until it is stopped. */
export default class StoreFollower {
  private isStopped = false;
  private failures = 0;
  /** When the first of these failed calls was made. */
  private awaySinceMs: Millis = 0;
  /** When the store last answered; before that, when this VM began to ask. */
  private answeredAtMs: Millis;
  private isFollowing = true;
  /** Where the next watch begins; undefined where a list has to be read first. */
  private revision: number | undefined;
  /** Whether everything up to some revision is known: not before the first list, nor after a gap. */
  private isComplete = false;
  /** Newest revision of a large item, 0 while there is none. */
  private largeRevision = 0;
  private hasWatched = false;
  /** Whether the store ever gave this VM its list; what peers told before has to be compared with it. */
  private hasListed = false;
  /** Whether it waits for others to follow the store; peers are asked for news meanwhile. */
  private isWaiting = false;

  constructor(private readonly options: StoreFollowerOptions) {
    this.answeredAtMs = options.clock.now();
  }

  /** When the store last answered this VM; before its first answer, when this VM began to ask. */
  get lastAnswerAtMs(): Millis {
    return this.answeredAtMs;
  }

  /** Whether the store tells this VM what is new: not while it waits for others to do so. */
  get isInTouch(): boolean {
    return this.failures === 0 && this.isComplete && !this.isWaiting;
  }

  /** Whether the last call failed. */
  get isStoreAway(): boolean {
    return this.failures > 0;
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    let pauseMs = 0;
    while (!this.isStopped) {
      const { isIdle } = this;
      this.noteFollowing(!isIdle);
      pauseMs = isIdle ? this.rest() : await this.stepGuarded(pauseMs);
      if (pauseMs > 0) {
        await delay(this.options.timers, pauseMs);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Waits until others follow the store for this VM, or the time is over. VMs that
   * start together, or lose the store together, would else ask it all at once.
   */
  private async waitForOthers(readLimitMs: () => number): Promise<void> {
    let waitedMs = 0;
    this.isWaiting = true;
    while (!this.isStopped && waitedMs < readLimitMs() && !this.isIdle) {
      await delay(this.options.timers, IDLE_CHECK_MS);
      waitedMs += IDLE_CHECK_MS;
    }
    this.isWaiting = false;
  }

  /** Whether others follow the store for this VM. */
  get isIdle(): boolean {
    return this.options.readRevision() > 0 && !this.options.mustFollow() && this.hasListed;
  }

  private noteFollowing(isFollowing: boolean): void {
    if (isFollowing !== this.isFollowing) {
      this.isFollowing = isFollowing;
      this.options.events.onFollowing(isFollowing);
    }
  }

  /** Others reach the store, so it is not lost; gives the pause until the next look. */
  private rest(): number {
    this.onSuccess();
    this.isComplete = true;
    // Watches from here would give every version of a large item.
    this.revision = this.largeRevision > 0 ? undefined : this.options.readRevision();
    return IDLE_CHECK_MS;
  }

  /** An answer that can't be taken must not end the loop: nothing would ever be learnt again. */
  private async stepGuarded(pausedMs: Millis): Promise<number> {
    try {
      return await this.step(pausedMs);
    } catch (thrown) {
      this.options.events.onStepFailed(thrown);
      this.revision = undefined;
      this.isComplete = false;
      return FAILED_STEP_PAUSE_MS;
    }
  }

  /** One call behind a pause; gives the pause until the next. */
  private async step(pausedMs: Millis): Promise<number> {
    if (this.revision === undefined) {
      return this.readList();
    }
    return this.readChanges(Math.max(this.revision, this.options.readRevision()), pausedMs);
  }

  private async readList(): Promise<number> {
    const calledAtMs = this.options.clock.now();
    const known = this.options.readRevision();
    const list = await this.options.port.list();
    if (E.isLeft(list)) {
      return this.onFault({ call: 'list', waitMs: 0, fault: list.left, calledAtMs });
    }
    this.onSuccess();
    // Pages that a failed try left may be older than what peers told since; the last one is not.
    const { revision, lastRevision = revision } = list.right;
    if (lastRevision < known) {
      this.options.events.onBehind({ known, revision: lastRevision });
    }
    this.hasListed = true;
    const isStillChanging = this.noteLarge(list.right.items) && this.isComplete;
    this.isComplete = true;
    this.revision = isStillChanging ? undefined : list.right.revision;
    this.options.events.onList(list.right);
    this.noteAnswer();
    if (isStillChanging) {
      return LARGE_PAUSE_MS;
    }
    if (!this.hasWatched) {
      await this.waitForOthers(() => this.options.startWaitMs());
    }
    return 0;
  }

  /** Whether a large item among these is newer than all that were seen before. */
  private noteLarge(items: StoreItem[]): boolean {
    const before = this.largeRevision;
    for (const { value, revision } of items) {
      if (value.length >= LARGE_ITEM_BYTES) {
        this.largeRevision = Math.max(this.largeRevision, revision);
      }
    }
    return this.largeRevision > before;
  }

  private async readChanges(revision: number, pausedMs: Millis): Promise<number> {
    const waitMs = this.planWait(pausedMs);
    this.hasWatched = true;
    const calledAtMs = this.options.clock.now();
    const changes = await this.options.port.watch(revision, waitMs);
    if (E.isLeft(changes)) {
      return this.onFault({ call: 'watch', waitMs, fault: changes.left, calledAtMs });
    }
    this.onSuccess();
    if (changes.right.revision < revision) {
      return this.beginAnew({ known: revision, revision: changes.right.revision });
    }
    this.revision = changes.right.revision;
    this.options.events.onChanges(changes.right);
    this.noteAnswer();
    if (changes.right.changes.length === 0) {
      return 0;
    }
    if (this.noteLarge(changes.right.changes.flatMap(toItems))) {
      this.revision = undefined;
      return LARGE_PAUSE_MS;
    }
    return this.gatherMs;
  }

  /** The next call is a list; gives the pause until then. */
  private beginAnew(behind: StoreBehind): number {
    this.options.events.onBehind(behind);
    this.revision = undefined;
    this.isComplete = false;
    this.largeRevision = 0;
    return 0;
  }

  /** Told behind the events of an answer, which may still want to know how old the last one is. */
  private noteAnswer(): void {
    this.answeredAtMs = this.options.clock.now();
  }

  /** At the start nobody knows yet who relies on whom. */
  private planWait(pausedMs: Millis): Millis {
    const { noticeWithinMs, followsForOthers } = this.options;
    const mayServeOthers = !this.hasWatched || followsForOthers();
    return planWatchWait({ noticeWithinMs, pausedMs, isAway: this.isStoreAway, mayServeOthers });
  }

  private get gatherMs(): number {
    const wantedMs = this.options.countFollowers() * GATHER_MS_OF_ONE_VM;
    return Math.min(Math.max(wantedMs, LEAST_GATHER_MS), LONGEST_GATHER_MS);
  }

  private onSuccess(): void {
    const { failures } = this;
    if (failures > 0) {
      this.failures = 0;
      const awayMs = this.options.clock.now() - this.awaySinceMs;
      this.options.events.onRegained({ awayMs, failures });
    }
  }

  /** Gives the pause until the next call. */
  private async onFault(failed: FailedCall): Promise<number> {
    if (failed.fault === 'history-gone') {
      this.revision = undefined;
      this.isComplete = false;
      this.tellFailure(failed, 0);
      return 0;
    }
    this.failures += 1;
    if (this.failures === 1) {
      this.awaySinceMs = failed.calledAtMs;
      this.options.events.onLost(failed.fault);
    }
    const jitter = 1 - JITTER * this.options.random.next();
    if (this.options.othersTry()) {
      const sharedMs = SHARED_PAUSE_MS * jitter;
      this.tellFailure(failed, sharedMs);
      await this.waitForOthers(() => sharedMs);
      return 0;
    }
    const pauseMs = planRetryPause(this.options.noticeWithinMs, this.failures) * jitter;
    this.tellFailure(failed, pauseMs);
    return pauseMs;
  }

  private tellFailure({ calledAtMs, ...failed }: FailedCall, pauseMs: Millis): void {
    const { clock, events } = this.options;
    const { failures } = this;
    events.onCallFailed({ ...failed, afterMs: clock.now() - calledAtMs, failures, pauseMs });
  }
}

function toItems(change: StoreChange): StoreItem[] {
  return change.kind === 'put' ? [change.item] : [];
}
