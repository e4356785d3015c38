/**
 * Targets whose entries lapsed while the store was away. They live on as long as
 * they did before; those that reach the store write themselves again soon after
 * its return. Dropping them at once would leave requests without any target.
 */
import type { TargetChange } from '@limelead/track-service-targets';
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';

/** An outage shorter than this lets no entry lapse, in milliseconds. */
const MIN_OUTAGE_MS = 2_000;
/** Time in which entries that lapsed are back after the store's return, in milliseconds. */
const MAX_GRACE_MS = 2_000;
/** Part of the time in which a target that left may still get work. */
const GRACE_FRACTION = 0.9;

/** What holding needs. */
export interface LapsedTargetsOptions {
  clock: Clock;
  timers: Timers;
  /** Time after which a target that leaves may get no work any more, in milliseconds. */
  leavingTargetMs: Millis;
  /** Whether a target is known and said that it leaves; its end is no lapse. */
  isLeaving(id: string): boolean;
  /** The entry did not come back. */
  onRemoved(id: string): void;
}

/** Holds back the end of targets during and right after an outage of the store. */
export default class LapsedTargets {
  private lostAtMs: Millis | undefined;
  private graceEndsAtMs: Millis = -Infinity;
  private readonly heldRemovals = new Map<string, CancelTimer>();
  private readonly graceMs: Millis;

  constructor(private readonly options: LapsedTargetsOptions) {
    this.graceMs = Math.min(MAX_GRACE_MS, options.leavingTargetMs * GRACE_FRACTION);
  }

  /**
   * The store stopped answering this VM, which may notice it only some time after
   * the store's last answer to any VM.
   */
  onStoreLost(lastAnswerAtMs: Millis = -Infinity): void {
    const now = this.options.clock.now();
    const isKnown = Number.isFinite(lastAnswerAtMs);
    this.lostAtMs ??= isKnown ? Math.min(now, lastAnswerAtMs) : now;
  }

  /** The store answers again. */
  onStoreRegained(): void {
    if (this.isLongOutage) {
      this.graceEndsAtMs = this.options.clock.now() + this.graceMs;
    }
    this.lostAtMs = undefined;
  }

  /** Takes changes and gives those that hold now. */
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

  /** A peer may know the store again before this VM does. */
  private get isLongOutage(): boolean {
    const now = this.options.clock.now();
    return this.lostAtMs !== undefined && now - this.lostAtMs >= MIN_OUTAGE_MS;
  }

  /** Each entry has its own time to come back, from when it was first missing. */
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
