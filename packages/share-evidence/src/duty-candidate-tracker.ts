/**
 * Tracks the candidates for duties that one VM at a time performs. Every VM is linked to them, so
 * that it can report what a duty needs.
 */
import type { Clock, Millis } from '@limelead/types';
import type { SchedulersByPartition } from './choose-schedulers.js';
import type { PeerId } from './types.js';

/** Candidates of a small fleet, in which all VMs are linked: a holder and a standby. */
const SMALL_FLEET_CANDIDATES = 2;
/**
 * Time without a link in milliseconds after which the next VM of the ranking replaces a candidate.
 * It spans two rounds of opening links. Members expire only after 12 s, and a fleet that lost all
 * candidates would have no VM to report to until then.
 */
const UNREACHABLE_AFTER_MS = 2_000;
/**
 * A VM with links to a smaller share of the others counts as isolated. It is below one half, so
 * that duties continue after half of the fleet is lost at once.
 */
const ISOLATED_SHARE = 1 / 3;
/** With a single other VM it cannot be decided which of the two is isolated. */
const MIN_OTHER_VMS = 2;

/** Chooses the candidates in each round. */
export default class DutyCandidateTracker {
  private chosen: readonly PeerId[] = [];
  /** Time at which each possible candidate was first seen without a link. */
  private readonly unlinkedSinceMs = new Map<PeerId, Millis>();
  private isolatedSince: Millis | undefined;

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
  ) {}

  /** Candidates as of the last round; empty before the first. */
  get list(): readonly PeerId[] {
    return this.chosen;
  }

  /**
   * Time since which this VM has no links to most of the VMs that it knows; undefined if it has.
   */
  get isolatedSinceMs(): Millis | undefined {
    return this.isolatedSince;
  }

  /**
   * Runs one round. The candidates are the schedulers of a large fleet, or else the last VMs of the
   * shared ranking.
   */
  update(
    ranking: readonly PeerId[],
    schedulers: SchedulersByPartition,
    linked: readonly PeerId[],
  ): void {
    const first = schedulers.flat();
    const inOrder = first.length > 0 ? first : ranking.slice(-SMALL_FLEET_CANDIDATES);
    const others = ranking.filter((vm) => !inOrder.includes(vm)).reverse();
    this.trackUnlinked([...inOrder, ...this.chosen], linked);
    this.trackIsolation(ranking, linked);
    this.chosen = [...inOrder, ...others]
      .filter((vm) => !this.isUnreachable(vm))
      .slice(0, inOrder.length);
  }

  private trackUnlinked(candidates: readonly PeerId[], linked: readonly PeerId[]): void {
    const now = this.clock.now();
    const unlinked = candidates.filter((vm) => vm !== this.self && !linked.includes(vm));
    for (const vm of [...this.unlinkedSinceMs.keys()]) {
      if (!unlinked.includes(vm)) {
        this.unlinkedSinceMs.delete(vm);
      }
    }
    unlinked.forEach((vm) => this.unlinkedSinceMs.set(vm, this.unlinkedSinceMs.get(vm) ?? now));
  }

  private trackIsolation(ranking: readonly PeerId[], linked: readonly PeerId[]): void {
    const known = ranking.filter((vm) => vm !== this.self);
    const reachable = known.filter((vm) => linked.includes(vm));
    const isIsolated =
      known.length >= MIN_OTHER_VMS && reachable.length < known.length * ISOLATED_SHARE;
    this.isolatedSince = isIsolated ? (this.isolatedSince ?? this.clock.now()) : undefined;
  }

  private isUnreachable(vm: PeerId): boolean {
    const sinceMs = this.unlinkedSinceMs.get(vm);
    return sinceMs !== undefined && this.clock.now() - sinceMs >= UNREACHABLE_AFTER_MS;
  }
}
