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

/** Follows who stands. */
export default class DutyCandidates {
  private chosen: readonly PeerId[] = [];
  /** When each VM that should stand was first seen without a link. */
  private readonly unlinkedSinceMs = new Map<PeerId, Millis>();

  constructor(
    private readonly self: PeerId,
    private readonly clock: Clock,
  ) {}

  /** As of the last round; none before the first. */
  get list(): readonly PeerId[] {
    return this.chosen;
  }

  /** One round: as many as there are schedulers, from the end of the ranking that all VMs share. */
  choose(ranking: readonly PeerId[], schedulers: Schedulers, linked: readonly PeerId[]): void {
    const first = schedulers.flat();
    const inOrder = first.length > 0 ? first : ranking.slice(-SMALL_FLEET_CANDIDATES);
    const others = ranking.filter((vm) => !inOrder.includes(vm)).reverse();
    this.noteLinks([...inOrder, ...this.chosen], linked);
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

  private isGone(vm: PeerId): boolean {
    const sinceMs = this.unlinkedSinceMs.get(vm);
    return sinceMs !== undefined && this.clock.now() - sinceMs >= GONE_AFTER_MS;
  }
}
