/** What this holder ordered for one service, and what it was told of it. */
import type { Millis } from '@limelead/types';
import type { DomainView } from './domain-view.js';
import type { DomainState, SentOrder, TargetKind, PlannedOrder } from './plan-orders.js';
import type { ServicePlan } from './service-plan.js';

/** Time between two questions for spot targets at a dry domain, in milliseconds. */
const SPOT_RETRY_MS = 1_000;
/**
 * A domain counts as dry for this long after it refused, in milliseconds, or until it gives:
 * asked at once, plain targets elsewhere would come and go.
 */
const SPOT_UNAVAILABLE_MS = 5_000;
/** Time after a notice in which the platform surely takes targets away, in milliseconds. */
const SPOT_RECLAIM_MS = 2_000;
/** Time after which a refused or unheard order may be given again, in milliseconds. */
const ORDER_BACKOFF_MS = 1_000;
/** Time after which an order that does not hold is tried again, in milliseconds: the configuration may have changed. */
const INVALID_ORDER_BACKOFF_MS = 10_000;

interface DomainOrders {
  ordered: Record<TargetKind, SentOrder | undefined>;
  spotUnavailableUntilMs: Millis;
  retrySpotFromMs: Millis;
  backoffUntilMs: Millis;
  isSending: boolean;
  isReclaimed: boolean;
}

/** Holds it for as long as this VM holds the duty. */
export default class ServiceOrderState {
  private readonly domains = new Map<string, DomainOrders>();

  /** Takes what is there; gives the domains whose spot targets are taken away now. */
  onViews(views: ReadonlyMap<string, DomainView>, now: Millis): string[] {
    const reclaimed: string[] = [];
    for (const [name, { isReclaimed }] of views) {
      const domain = this.at(name);
      if (isReclaimed && !domain.isReclaimed) {
        domain.spotUnavailableUntilMs = now + SPOT_UNAVAILABLE_MS;
        domain.retrySpotFromMs = now + SPOT_RECLAIM_MS;
        // What was ordered is not what comes: the platform takes it away.
        domain.ordered.spot = undefined;
        reclaimed.push(name);
      }
      domain.isReclaimed = isReclaimed;
    }
    return reclaimed;
  }

  isSpotUnavailable(name: string, now: Millis): boolean {
    return this.at(name).spotUnavailableUntilMs > now;
  }

  /** The last number that was ordered; undefined where this holder ordered none. */
  lastOrderedCount(name: string, kind: TargetKind): number | undefined {
    return this.at(name).ordered[kind]?.count;
  }

  /** Whether an order may go out: one at a time for each domain, so that they keep their order. */
  canOrder(name: string, now: Millis): boolean {
    const { isSending, backoffUntilMs } = this.at(name);
    return !isSending && backoffUntilMs <= now;
  }

  toStates(
    views: ReadonlyMap<string, DomainView>,
    plan: ServicePlan,
    now: Millis,
  ): Map<string, DomainState> {
    return new Map(
      [...views].map(([name, { plain, spot }]): [string, DomainState] => [
        name,
        {
          wanted: plan.counts.get(name) ?? { plain: plain.ready, spot: spot.ready },
          present: { plain, spot },
          ordered: { ...this.at(name).ordered },
          isSpotUnavailable: this.isSpotUnavailable(name, now),
          spotRetryCount:
            this.at(name).retrySpotFromMs <= now
              ? plan.unconstrainedCounts.get(name)?.spot
              : undefined,
        },
      ]),
    );
  }

  onSending({ failureDomain }: PlannedOrder): void {
    this.at(failureDomain).isSending = true;
  }

  /** The platform took it, or gave no answer. */
  onOrdered({ failureDomain, kind, count }: PlannedOrder, now: Millis, isSure: boolean): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.ordered[kind] = { count, atMs: now, isConfirmed: isSure };
    if (kind === 'spot' && isSure) {
      domain.spotUnavailableUntilMs = -Infinity;
    }
  }

  onSpotRefused({ failureDomain }: PlannedOrder, now: Millis): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.ordered.spot = undefined;
    domain.spotUnavailableUntilMs = now + SPOT_UNAVAILABLE_MS;
    domain.retrySpotFromMs = now + SPOT_RETRY_MS;
  }

  backOff({ failureDomain }: PlannedOrder, now: Millis, isInvalid: boolean): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.backoffUntilMs = now + (isInvalid ? INVALID_ORDER_BACKOFF_MS : ORDER_BACKOFF_MS);
  }

  private at(name: string): DomainOrders {
    const known = this.domains.get(name);
    if (known !== undefined) {
      return known;
    }
    const domain: DomainOrders = {
      ordered: { plain: undefined, spot: undefined },
      spotUnavailableUntilMs: -Infinity,
      retrySpotFromMs: -Infinity,
      backoffUntilMs: -Infinity,
      isSending: false,
      isReclaimed: false,
    };
    this.domains.set(name, domain);
    return domain;
  }
}
