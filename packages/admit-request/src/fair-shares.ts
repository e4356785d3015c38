/**
 * Fair shares of the organisations that use one service. Addresses an organisation that sends many
 * times its usual load: its requests wait behind those of organisations within their shares. The
 * capacity is the rate at which requests are served, so no share exists while all are served.
 */
import type { Millis, ServiceDemand } from '@limelead/types';
import computeShareLevel from './compute-share-level.js';
import DecayedCount from './decayed-count.js';
import type { ShareOrder } from './share-order.js';

/** Beyond this number the organisation with the lowest demand is forgotten. */
const MAX_ORGANISATIONS = 256;
/** Organisations that are reported to peers; the others are reported as one sum. */
const MAX_REPORTED = 16;
/** Time for which computed shares are kept, since they are needed for each waiting request. */
const REFRESH_MS: Millis = 50;
/** Time after the first arrival in which nobody is limited, since the rates are not yet known. */
const MIN_HISTORY_MS: Millis = 500;
/** Time without arrivals after which the history begins anew. */
const IDLE_MS: Millis = 10_000;
/** Age up to which the demand that a peer reported counts. */
const MAX_REPORT_AGE_MS: Millis = 3_000;
/**
 * Multiple of the served rate that counts as capacity: in a burst some requests wait that are served
 * soon after it, which is no reason to limit anybody. With 1.05, peaks of a usual load made up to
 * 0.026 more calls late; with 1.12, an organisation that sends ten times its load made 0.075 of the
 * calls of others late.
 */
const CAPACITY_MARGIN = 1.08;

/** Lowest demand that is reported; lower ones round to 0. */
const MIN_REPORTED_PER_SECOND = 0.05;

/** An organisation above its share. */
export interface ExceededShare {
  organisation: string;
  perSecond: number;
  sharePerSecond: number;
}

/** Dependencies of `FairShares`. */
export interface FairSharesOptions {
  /** Relative share of an organisation under pressure, above 0; 1 for all if omitted. */
  weightOf?(organisation: string): number;
}

interface PeerReport {
  demand: ServiceDemand;
  atMs: Millis;
}

/** Demands and shares at one service. Requests of open routes count as one organisation. */
export default class FairShares implements ShareOrder {
  private readonly arrivals = new Map<string, DecayedCount>();
  private served: DecayedCount | undefined;
  private readonly reports = new Map<string, PeerReport>();
  private exceeded = new Map<string, ExceededShare>();
  private computedAtMs: Millis = -Infinity;
  private startedAtMs: Millis = -Infinity;
  private arrivedAtMs: Millis = -Infinity;

  constructor(private readonly options: FairSharesOptions = {}) {}

  recordArrival(organisation: string | undefined, now: Millis): void {
    if (now - this.arrivedAtMs > IDLE_MS) {
      this.startedAtMs = now;
    }
    this.arrivedAtMs = now;
    const name = organisation ?? '';
    const known = this.arrivals.get(name);
    if (known !== undefined) {
      known.record(now);
      return;
    }
    if (this.arrivals.size >= MAX_ORGANISATIONS) {
      this.evictLowest(now);
    }
    const created = new DecayedCount(now);
    created.record(now);
    this.arrivals.set(name, created);
  }

  recordServed(now: Millis): void {
    this.served ??= new DecayedCount(now);
    this.served.record(now);
  }

  excessOf(organisation: string | undefined, now: Millis): number {
    this.refresh(now);
    const exceeded = this.exceeded.get(organisation ?? '');
    return exceeded === undefined ? 0 : exceeded.perSecond / exceeded.sharePerSecond;
  }

  /** Organisations above their shares, the one with the highest demand first. */
  listExceeded(now: Millis): ExceededShare[] {
    this.refresh(now);
    return [...this.exceeded.values()].sort((a, b) => b.perSecond - a.perSecond);
  }

  /** The demand at this VM, for peers; undefined without any. */
  summarise(service: string, now: Millis): ServiceDemand | undefined {
    const demands = this.listOwn(now);
    const arrivals = demands.reduce((sum, [, perSecond]) => sum + perSecond, 0);
    if (arrivals < MIN_REPORTED_PER_SECOND) {
      return undefined;
    }
    const organisations = demands
      .sort((a, b) => b[1] - a[1])
      .slice(0, MAX_REPORTED)
      .map(([name, perSecond]): [string, number] => [name, round(perSecond)])
      .filter(([, perSecond]) => perSecond > 0);
    const served = round(this.served?.perSecond(now) ?? 0);
    return { service, arrivals: round(arrivals), served, organisations };
  }

  /** Records the demand at another VM, which replaces its last one. */
  onPeerDemand(peer: string, demand: ServiceDemand, now: Millis): void {
    this.reports.set(peer, { demand, atMs: now });
  }

  private listOwn(now: Millis): [organisation: string, perSecond: number][] {
    return [...this.arrivals].map(([name, count]) => [name, count.perSecond(now)]);
  }

  private refresh(now: Millis): void {
    if (now - this.computedAtMs >= REFRESH_MS) {
      this.computedAtMs = now;
      this.exceeded =
        now - this.startedAtMs < MIN_HISTORY_MS
          ? new Map<string, ExceededShare>()
          : this.compute(now);
    }
  }

  private compute(now: Millis): Map<string, ExceededShare> {
    const demands = new Map(this.listOwn(now));
    let served = this.served?.perSecond(now) ?? 0;
    for (const [peer, { demand, atMs }] of this.reports) {
      if (now - atMs > MAX_REPORT_AGE_MS) {
        this.reports.delete(peer);
        continue;
      }
      let unlisted = demand.arrivals;
      for (const [name, perSecond] of demand.organisations) {
        demands.set(name, (demands.get(name) ?? 0) + perSecond);
        unlisted -= perSecond;
      }
      // Organisations that the peer does not list have low demands and are within their shares.
      served += demand.served - Math.max(0, unlisted);
    }
    const weightOf = (name: string): number => this.options.weightOf?.(name) ?? 1;
    const weighted = [...demands].map(([organisation, perSecond]) => ({
      ...{ organisation, perSecond },
      weight: weightOf(organisation),
    }));
    if (weighted.length < 2 || served <= 0) {
      return new Map();
    }
    const level = computeShareLevel(weighted, served * CAPACITY_MARGIN);
    return new Map(
      weighted
        .filter(({ perSecond, weight }) => perSecond > level * weight)
        .map(({ organisation, perSecond, weight }) => [
          organisation,
          { organisation, perSecond, sharePerSecond: level * weight },
        ]),
    );
  }

  private evictLowest(now: Millis): void {
    const lowest = this.listOwn(now).reduce((least, one) => (one[1] < least[1] ? one : least));
    this.arrivals.delete(lowest[0]);
  }
}

function round(perSecond: number): number {
  return Math.round(perSecond * 10) / 10;
}
