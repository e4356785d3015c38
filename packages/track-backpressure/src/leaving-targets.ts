/**
 * Leaving announcements from responses and peers. They are gossiped, since the registry may list a
 * leaving target as ready until it has ended.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Clock, DirectiveResponse, Millis } from '@limelead/types';
import LeavingTable, { type LeavingUpdate } from './leaving-table.js';

/**
 * How long announcements of unlisted targets are kept, since an expired registry entry may
 * reappear.
 */
const UNLISTED_TARGET_TTL_MS: Millis = 600_000;

/** Dependencies of `LeavingTargets`. */
export interface LeavingTargetsOptions {
  clock: Clock;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
  /** Whether the registry lists the incarnation. */
  isListed(target: string): boolean;
  /** Called for each announcement that is new to this VM. */
  onLeaving(target: string): void;
  /** Sends announcements to all peers except the one that they came from. */
  publish(updates: LeavingUpdate[], from?: string): void;
}

/** Collects and gossips announcements. */
export default class LeavingTargets {
  private readonly table = new LeavingTable();
  private readonly logAnnounced: RateLimitedLog;

  constructor(private readonly options: LeavingTargetsOptions) {
    const { clock, log } = options;
    this.logAnnounced = createRateLimitedLog(log, clock, 'target-leaving-announced');
  }

  /** Steady time at which this VM learned of the announcement; undefined without one. */
  knownSinceMs(target: string): Millis | undefined {
    return this.table.knownSinceMs(target);
  }

  /** All announcements, for a newly linked peer. */
  list(): LeavingUpdate[] {
    return this.table.list();
  }

  /** Applies the announcement in a response, if there is one. */
  onResponse({ target, directives }: DirectiveResponse): void {
    if (directives.isLeaving) {
      this.applyUpdates([{ target, receivedAtMs: this.options.clock.now() }]);
    }
  }

  /** Applies announcements of a peer. */
  onPeerUpdate(vm: string, updates: LeavingUpdate[]): void {
    this.applyUpdates(updates, vm);
  }

  private applyUpdates(updates: LeavingUpdate[], vm?: string): void {
    const { clock, isListed, onLeaving, publish } = this.options;
    const now = clock.now();
    const keptSinceMs = now - UNLISTED_TARGET_TTL_MS;
    this.table.prune(keptSinceMs, isListed);
    const newUpdates = updates
      .filter(({ target, receivedAtMs }) => receivedAtMs >= keptSinceMs || isListed(target))
      .filter((update) => this.table.add(update, now));
    if (newUpdates.length > 0) {
      newUpdates.forEach((update) => this.report(update, vm));
      newUpdates.forEach(({ target }) => onLeaving(target));
      publish(newUpdates, vm);
    }
  }

  private report({ target, receivedAtMs }: LeavingUpdate, vm: string | undefined): void {
    const { clock, metrics } = this.options;
    const heardAgoMs = Math.round(clock.now() - receivedAtMs);
    metrics.count('limelead_leaving_announcements_total');
    this.logAnnounced({ target, source: vm ?? 'answer', heardAgoMs });
  }
}
