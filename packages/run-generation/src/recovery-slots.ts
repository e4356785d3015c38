/** Slots of the recoveries of one generation. */
import type { GenerationDependencies } from './dependencies.js';

/** Longest time that a recovery holds its slot. */
const MAX_RECOVERY_SLOT_MS = 1_000;

/** Releases a slot; further calls have no effect. */
export type ReleaseSlot = () => void;

/** Holds the slots of recoveries that have not delivered yet, by attempt. */
export default class RecoverySlots {
  private readonly releases = new Map<number, ReleaseSlot>();

  constructor(
    private readonly dependencies: Pick<GenerationDependencies, 'pacer' | 'timers'>,
    private readonly rank: number,
  ) {}

  /** Waits for a slot. */
  async acquire(): Promise<ReleaseSlot> {
    const { pacer, timers } = this.dependencies;
    const release = await pacer.acquire(this.rank);
    // A recovery that neither delivers nor breaks must not hold its slot indefinitely.
    timers.after(MAX_RECOVERY_SLOT_MS, release);
    return release;
  }

  /** Holds a slot for an attempt in place of its earlier one. */
  hold(attempt: number, release: ReleaseSlot): void {
    this.release(attempt);
    this.releases.set(attempt, release);
  }

  release(attempt: number): void {
    this.releases.get(attempt)?.();
    this.releases.delete(attempt);
  }

  releaseAll(): void {
    this.releases.forEach((release) => release());
    this.releases.clear();
  }
}
