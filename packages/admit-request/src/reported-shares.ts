/** Reports which organisations pay for pressure at a service, with bounded lines and counters. */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { Millis } from '@limelead/types';
import type FairShares from './fair-shares.js';
import type { ShareOrder } from './share-order.js';

const LOG_INTERVAL_MS: Millis = 1_000;
/** Organisations in one line, those with the highest demand. */
const MAX_LOGGED = 5;

/** Dependencies of `ReportedShares`. */
export interface ReportedSharesOptions {
  service: string;
  /** Where the requests wait: in the queue of all VMs, or in that of this VM. */
  queue: 'fleet' | 'vm';
  shares: FairShares;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count'>;
}

/** Fair shares of one service whose effects are logged and counted. */
export default class ReportedShares implements ShareOrder {
  private loggedAtMs: Millis = -Infinity;
  private waits = 0;
  private refusals = 0;

  constructor(private readonly options: ReportedSharesOptions) {}

  excessOf(organisation: string | undefined, now: Millis): number {
    return this.options.shares.excessOf(organisation, now);
  }

  recordArrival(organisation: string | undefined, now: Millis): void {
    this.options.shares.recordArrival(organisation, now);
  }

  recordServed(now: Millis): void {
    this.options.shares.recordServed(now);
  }

  recordWait(organisation: string | undefined, now: Millis): void {
    this.waits += 1;
    this.count('limelead_share_waits_total', organisation, now);
  }

  recordRefusal(organisation: string | undefined, now: Millis): void {
    this.refusals += 1;
    this.count('limelead_share_refusals_total', organisation, now);
  }

  private count(name: string, organisation: string | undefined, now: Millis): void {
    const { queue, metrics } = this.options;
    const shareClass = this.excessOf(organisation, now) > 0 ? 'above' : 'within';
    metrics.count(name, 1, { queue, class: shareClass });
    if (now - this.loggedAtMs >= LOG_INTERVAL_MS) {
      this.logExceeded(now);
    }
  }

  private logExceeded(now: Millis): void {
    const { service, queue, shares, log } = this.options;
    const exceeded = shares.listExceeded(now);
    if (exceeded.length === 0) {
      return;
    }
    this.loggedAtMs = now;
    const listed = exceeded.slice(0, MAX_LOGGED);
    log.write('shares-exceeded', {
      ...{ service, queue, count: exceeded.length },
      organisations: listed.map(({ organisation }) => organisation),
      perSecond: listed.map(({ perSecond }) => round(perSecond)),
      sharesPerSecond: listed.map(({ sharePerSecond }) => round(sharePerSecond)),
      // Of all organisations, since the last line.
      ...{ waits: this.waits, refusals: this.refusals },
    });
    this.waits = 0;
    this.refusals = 0;
  }
}

function round(perSecond: number): number {
  return Math.round(perSecond * 10) / 10;
}
