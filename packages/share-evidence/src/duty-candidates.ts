/**
 * Which VMs stand for duties that only one VM at a time may do. Every VM is linked to
 * them, so that they can be told what a duty needs.
 */
import type { Clock, Millis } from '@limelead/types';
import type { Schedulers } from './choose-schedulers.js';
import type { PeerId } from './types.js';

/** Candidates of a small fleet, in which all VMs are linked: one that holds, one that stands by. */
const SMALL_FLEET_CANDIDATES = 2;
/**
 * A candidate to which no link was up for this long has the next of the ranking in its
 * place, in milliseconds: two rounds in which links are opened. As a member it is forgotten
 * only after 12 s, and with all candidates gone the fleet would have nobody to tell.
 */
const GONE_AFTER_MS = 2_000;
/**
 * A VM with links to a smaller share of the others is cut off. Where half of the fleet is
 * lost at once, those that are left have links to about half and go on with their duties.
 */
const CUT_OFF_SHARE = 1 / 3;
/** With a single other VM nobody can tell which of the two is cut off. */
const FEWEST_OTHERS = 2;

/** Follows who stands. */
export default class DutyCandidates {
  private chosen: readonly PeerId[] = [];
  /** When each VM that should stand was first seen without a link. */
  private readonly unlinkedSinceMs = new Map<PeerId, Millis>();
  private cutOffSince: Millis | undefined;

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
  ) {}

  /** As of the last round; none before the first. */
  get list(): readonly PeerId[] {
    return this.chosen;
  }

  /** Since when this VM has no links to most of the others that it knows; undefined where it has. */
  get cutOffSinceMs(): Millis | undefined {
    return this.cutOffSince;
  }

  /** One round: the schedulers of a large fleet, else the last VMs of the ranking that all share. */
  choose(ranking: readonly PeerId[], schedulers: Schedulers, linked: readonly PeerId[]): void {
    const first = schedulers.flat();
    const inOrder = first.length > 0 ? first : ranking.slice(-SMALL_FLEET_CANDIDATES);
    const others = ranking.filter((vm) => !inOrder.includes(vm)).reverse();
    this.noteLinks([...inOrder, ...this.chosen], linked);
    this.noteCut(ranking, linked);
    this.chosen = [...inOrder, ...others].filter((vm) => !this.isGone(vm)).slice(0, inOrder.length);
  }

  private noteLinks(wanted: readonly PeerId[], linked: readonly PeerId[]): void {
    const now = this.clock.now();
    const unlinked = wanted.filter((vm) => vm !== this.self && !linked.includes(vm));
    for (const vm of [...this.unlinkedSinceMs.keys()]) {
      if (!unlinked.includes(vm)) {
        this.unlinkedSinceMs.delete(vm);
      }
    }
    unlinked.forEach((vm) => this.unlinkedSinceMs.set(vm, this.unlinkedSinceMs.get(vm) ?? now));
  }

  private noteCut(ranking: readonly PeerId[], linked: readonly PeerId[]): void {
    const known = ranking.filter((vm) => vm !== this.self);
    const reached = known.filter((vm) => linked.includes(vm));
    const isCutOff = known.length >= FEWEST_OTHERS && reached.length < known.length * CUT_OFF_SHARE;
    this.cutOffSince = isCutOff ? (this.cutOffSince ?? this.clock.now()) : undefined;
  }

  private isGone(vm: PeerId): boolean {
    const sinceMs = this.unlinkedSinceMs.get(vm);
    return sinceMs !== undefined && this.clock.now() - sinceMs >= GONE_AFTER_MS;
  }
}
