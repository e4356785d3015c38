/**
 * Rate limits that targets advertise, from their responses and from peers. A change is gossiped to
 * the other VMs, each of which forwards it once; a peer with an outdated update is sent the newest.
 */
import {
  createRateLimitedLog,
  type DecisionLog,
  type RateLimitedLog,
} from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import {
  RecentTimes,
  type Clock,
  type Millis,
  type Random,
  type AdvertisedLimit,
} from '@limelead/types';
import LimitTable, { type LimitUpdate } from './limit-table.js';

/** Longest time for an update to reach every VM. */
const MAX_PROPAGATION_MS: Millis = 60_000;

/** Dependencies of `TargetLimits`. */
export interface TargetLimitsOptions {
  clock: Clock;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  /** Sends updates to all peers except the one that they came from. */
  publish(updates: LimitUpdate[], from?: string): void;
  /** Sends newer updates to a peer that sent outdated ones. */
  sendCorrection(vm: string, updates: LimitUpdate[]): void;
  /** The limit of a target changed. */
  onChange(target: string): void;
}

/** Tracks the limits of all targets and gossips their changes. */
export default class TargetLimits {
  private readonly table = new LimitTable();
  /**
   * Marks of handled updates. Each hop makes an update seem younger by its time in transit, so two
   * updates of the same moment would otherwise replace each other from VM to VM forever.
   */
  private readonly handledUpdates = new RecentTimes(MAX_PROPAGATION_MS);
  private readonly markPrefix: string;
  private lastMark = 0;
  private readonly logUnreadable: RateLimitedLog;
  private readonly logChange: RateLimitedLog;

  constructor(private readonly options: TargetLimitsOptions) {
    const { clock, random, log, metrics } = options;
    this.markPrefix = String(random.next());
    this.logUnreadable = createRateLimitedLog(log, clock, 'target-limit-unreadable');
    this.logChange = createRateLimitedLog(log, clock, 'target-limit-changed');
    metrics.gauge('limelead_limited_targets', () => this.table.limitedTargets.size);
  }

  /** Requests a second that a target accepts from all VMs together; undefined without a limit. */
  getRate(target: string): number | undefined {
    return this.table.getRate(target);
  }

  /** Requests a second of each target that has a limit. */
  get limitedTargets(): ReadonlyMap<string, number> {
    return this.table.limitedTargets;
  }

  /** All known updates, for a newly linked VM. */
  list(): LimitUpdate[] {
    return this.table.list();
  }

  /**
   * Handles the limit in a target's response.
   * @param askedAtMs when the request was sent
   */
  onResponse(target: string, limit: AdvertisedLimit, askedAtMs: Millis): void {
    if (limit.kind === 'unreadable') {
      this.logUnreadable({ target, text: limit.text });
    }
    const perSecond = limit.kind === 'rate' ? limit.perSecond : undefined;
    this.lastMark += 1;
    this.applyUpdate({ target, perSecond, askedAtMs, mark: `${this.markPrefix}.${this.lastMark}` });
  }

  /** Handles updates of a peer. */
  onPeerUpdate(vm: string, updates: LimitUpdate[]): void {
    const now = this.options.clock.now();
    for (const update of updates.filter(
      ({ mark }) => this.handledUpdates.ageMs(mark, now) === undefined,
    )) {
      this.applyUpdate(update, vm);
    }
  }

  /** Forgets an incarnation that ended. */
  forget(target: string): void {
    this.table.forget(target);
  }

  private applyUpdate(update: LimitUpdate, vm?: string): void {
    const outcome = this.table.apply(update);
    if (outcome.kind !== 'known') {
      this.handledUpdates.record(update.mark, this.options.clock.now());
    }
    if (outcome.kind === 'changed') {
      this.onChanged(update, outcome.from, vm);
    } else if (outcome.kind === 'outdated' && vm !== undefined) {
      this.options.sendCorrection(vm, [outcome.newest]);
    }
  }

  private onChanged(update: LimitUpdate, from: number | undefined, vm: string | undefined): void {
    const { clock, metrics, publish, onChange } = this.options;
    metrics.count('limelead_limit_changes_total');
    this.logChange({
      target: update.target,
      from,
      to: update.perSecond,
      source: vm ?? 'answer',
      askedAgoMs: Math.round(clock.now() - update.askedAtMs),
    });
    onChange(update.target);
    publish([update], vm);
  }
}
