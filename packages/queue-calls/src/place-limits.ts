/**
 * Number of calls that a target gets at once: its slots, and one more that waits at the target so
 * that it need not idle for a round trip between VMs; fewer at a target that rejects calls or
 * stopped answering.
 */
import type { Millis } from '@limelead/types';
import BrittleRooms from './brittle-rooms.js';
import type { QueueTarget } from './queue-ports.js';

/** Time for which a target that rejected a call gets no call beyond its slots. */
const NO_EXTRA_MS: Millis = 10_000;
/** Time after which a target that rejected a call gets one more call than then. */
const RECOVERY_MS: Millis = 100;
/** Shortest silence of a target with calls in progress after which it gets one call at most. */
const MIN_SILENCE_MS: Millis = 200;
/** The same silence as a multiple of the usual time of an answer; work slowed by 2.5 stays below. */
const SILENCE_FACTOR = 4;

/** With fewer slots, a call beyond them waits too long at the target, where nothing overtakes it. */
const MIN_SLOTS_FOR_EXTRA = 4;

interface Rejection {
  atMs: Millis;
  /** Calls that the target had accepted. */
  limit: number;
}

/** Present use of a target. */
export interface TargetUse {
  silenceMs: Millis;
  usualMs: Millis;
  /** Calls that it has now; 0 by default. */
  used?: number;
}

/** Limits of the targets of one service. */
export default class PlaceLimits {
  private readonly rejections = new Map<string, Rejection>();
  private readonly brittle = new BrittleRooms();

  /** @param extra calls beyond the slots of a target that has accepted all calls */
  constructor(private readonly extra: number) {}

  /** Records that a target did not accept a call beside others. */
  recordRejection(target: string, others: number, now: Millis): void {
    this.rejections.set(target, { atMs: now, limit: Math.max(1, others) });
    this.brittle.recordRejection(target, others, now);
  }

  /** Calls that a target may have at once. */
  limitOf(target: QueueTarget, use: TargetUse, now: Millis): number {
    const { id, slots, isSuspected, rejectionsPerSecond } = target;
    if (isSuspected) {
      return 0;
    }
    if (use.silenceMs > Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * use.usualMs)) {
      return 1;
    }
    if (rejectionsPerSecond !== undefined) {
      return this.brittle.limitOf(target, rejectionsPerSecond, use.used ?? 0, now);
    }
    this.brittle.forget(id);
    const rejection = this.rejections.get(id);
    if (rejection === undefined || now - rejection.atMs > NO_EXTRA_MS) {
      return slots < MIN_SLOTS_FOR_EXTRA ? slots : slots + this.extra;
    }
    const recovered = Math.floor((now - rejection.atMs) / RECOVERY_MS);
    return Math.min(slots, rejection.limit + recovered);
  }

  /** Forgets all targets except the listed ones. */
  retain(targets: ReadonlySet<string>): void {
    this.brittle.retain(targets);
    [...this.rejections.keys()]
      .filter((target) => !targets.has(target))
      .forEach((target) => this.rejections.delete(target));
  }
}
