/**
 * Targets whose entries lapsed while the store was away. They live on as long as
 * they did before; those that reach the store write themselves again soon after
 * its return. Dropping them at once would leave requests without any target.
 */
import type { TargetChange } from '@limelead/track-service-targets';
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';

/** An outage shorter than this lets no entry lapse, in milliseconds. */
const LEAST_OUTAGE_MS = 2_000;
/**
 * Time after the store's return in which a missing entry may come back, in
 * milliseconds. It ends before a target that did leave may get no work any more.
 */
const GRACE_MS = 1_500;

/** What holding needs. */
export interface LapsedTargetsOptions {
  clock: Clock;
  timers: Timers;
  /** Whether a target is known and said that it leaves; its end is no lapse. */
  isLeaving(id: string): boolean;
  /** The entries did not come back. */
  onGone(ids: string[]): void;
}

/** Holds back the end of targets right after an outage of the store. */
export default class LapsedTargets {
  private lostAtMs: Millis | undefined;
  private graceEndsAtMs: Millis = -Infinity;
  private readonly missing = new Set<string>();
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: LapsedTargetsOptions) {}

  /** The store stopped answering this VM. */
  noteStoreLost(): void {
    this.lostAtMs ??= this.options.clock.now();
  }

  /** The store answers again. */
  noteStoreRegained(): void {
    const now = this.options.clock.now();
    const outageMs = now - (this.lostAtMs ?? now);
    this.lostAtMs = undefined;
    if (outageMs < LEAST_OUTAGE_MS) {
      return;
    }
    this.graceEndsAtMs = now + GRACE_MS;
    this.cancelTimer?.();
    this.cancelTimer = this.options.timers.after(GRACE_MS, () => this.endGrace());
  }

  /** Takes changes and gives those that hold now. */
  filter(changes: TargetChange[]): TargetChange[] {
    return changes.filter((change) => !this.holdsBack(change));
  }

  private holdsBack(change: TargetChange): boolean {
    const { clock, isLeaving } = this.options;
    if (change.kind === 'put') {
      this.missing.delete(change.target.id);
      return false;
    }
    if (clock.now() >= this.graceEndsAtMs || isLeaving(change.id)) {
      return false;
    }
    this.missing.add(change.id);
    return true;
  }

  private endGrace(): void {
    const gone = [...this.missing];
    this.missing.clear();
    if (gone.length > 0) {
      this.options.onGone(gone);
    }
  }
}
