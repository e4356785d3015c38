/**
 * Keeps targets whose store entries expired during an outage of the store. Running targets
 * write their entries again soon after the outage; without the delay no target would be left.
 */
import type { TargetChange } from '@limelead/track-service-targets';
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';

/** An outage shorter than this expires no entries. */
const MIN_OUTAGE_MS = 2_000;
/** Longest time that a removal is held back; targets write their entries again within it. */
const MAX_GRACE_MS = 2_000;
/** Fraction of `leavingTargetMs` that a removal may be held back. */
const GRACE_FRACTION = 0.9;

/** Options of `LapsedTargets`. */
export interface LapsedTargetsOptions {
  clock: Clock;
  timers: Timers;
  /** Time within which a leaving target must stop receiving requests. */
  leavingTargetMs: Millis;
  /** Whether a target announced that it leaves; its removal is not held back. */
  isLeaving(id: string): boolean;
  /** Called when a held entry was not written again in time. */
  onRemoved(id: string): void;
}

/** Holds back removals of targets during an outage of the store and shortly after it. */
export default class LapsedTargets {
  private lostAtMs: Millis | undefined;
  private graceEndsAtMs: Millis = -Infinity;
  private readonly heldRemovals = new Map<string, CancelTimer>();
  private readonly graceMs: Millis;

  constructor(private readonly options: LapsedTargetsOptions) {
    this.graceMs = Math.min(MAX_GRACE_MS, options.leavingTargetMs * GRACE_FRACTION);
  }

  /**
   * Starts an outage.
   * @param lastAnswerAtMs the store's last answer to any VM, which may precede the detection
   */
  onStoreLost(lastAnswerAtMs: Millis = -Infinity): void {
    const now = this.options.clock.now();
    const isKnown = Number.isFinite(lastAnswerAtMs);
    this.lostAtMs ??= isKnown ? Math.min(now, lastAnswerAtMs) : now;
  }

  /** Ends the outage; after a long one the grace period begins. */
  onStoreRegained(): void {
    if (this.isLongOutage) {
      this.graceEndsAtMs = this.options.clock.now() + this.graceMs;
    }
    this.lostAtMs = undefined;
  }

  /** Returns the changes to apply now; other removals are held back. */
  filter(changes: TargetChange[]): TargetChange[] {
    return changes.filter((change) => !this.shouldHold(change));
  }

  private shouldHold(change: TargetChange): boolean {
    if (change.kind === 'put') {
      this.cancelHold(change.target.id);
      return false;
    }
    const { clock, isLeaving } = this.options;
    const mayBeBack = this.isLongOutage || clock.now() < this.graceEndsAtMs;
    if (!mayBeBack || isLeaving(change.id)) {
      this.cancelHold(change.id);
      return false;
    }
    this.hold(change.id);
    return true;
  }

  /** Whether a long outage is in progress. Changes may arrive through a peer that reaches the store first. */
  private get isLongOutage(): boolean {
    const now = this.options.clock.now();
    return this.lostAtMs !== undefined && now - this.lostAtMs >= MIN_OUTAGE_MS;
  }

  /** Starts the grace period of an entry, unless it is already held. */
  private hold(id: string): void {
    if (this.heldRemovals.has(id)) {
      return;
    }
    const cancel = this.options.timers.after(this.graceMs, () => {
      this.heldRemovals.delete(id);
      this.options.onRemoved(id);
    });
    this.heldRemovals.set(id, cancel);
  }

  private cancelHold(id: string): void {
    this.heldRemovals.get(id)?.();
    this.heldRemovals.delete(id);
  }
}
