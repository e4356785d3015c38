/** State of this holder's orders for one service. */
import type { Millis } from '@limelead/types';
import type { DomainView } from './domain-view.js';
import type { DomainState, SentOrder, TargetKind, PlannedOrder } from './plan-orders.js';
import type { ServicePlan } from './service-plan.js';

/** Time between two retries for spot targets where they are unavailable. */
const SPOT_RETRY_MS = 1_000;
/**
 * Time after a refusal for which spot targets count as unavailable, unless an order succeeds.
 * Shorter times would make plain targets elsewhere come and go.
 */
const SPOT_UNAVAILABLE_MS = 5_000;
/** Time after a notice by which the platform has reclaimed the targets. */
const SPOT_RECLAIM_MS = 2_000;
/** Time before a refused or unanswered order may be repeated. */
const ORDER_BACKOFF_MS = 1_000;
/** Time before an invalid order is tried again, since the configuration may have changed. */
const INVALID_ORDER_BACKOFF_MS = 10_000;

interface DomainOrders {
  ordered: Record<TargetKind, SentOrder | undefined>;
  spotUnavailableUntilMs: Millis;
  retrySpotFromMs: Millis;
  backoffUntilMs: Millis;
  isSending: boolean;
  isReclaimed: boolean;
}

/** Tracks orders for as long as this VM holds the duty. */
export default class ServiceOrderState {
  private readonly domains = new Map<string, DomainOrders>();

  /**
   * Updates the state with the present targets. Returns the domains whose spot targets are newly
   * reclaimed.
   */
  onViews(views: ReadonlyMap<string, DomainView>, now: Millis): string[] {
    const reclaimed: string[] = [];
    for (const [name, { isReclaimed }] of views) {
      const domain = this.at(name);
      if (isReclaimed && !domain.isReclaimed) {
        domain.spotUnavailableUntilMs = now + SPOT_UNAVAILABLE_MS;
        domain.retrySpotFromMs = now + SPOT_RECLAIM_MS;
        // The platform reclaims these targets, so the last order no longer applies.
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

  /** Returns the last ordered count; undefined if this holder ordered none. */
  lastOrderedCount(name: string, kind: TargetKind): number | undefined {
    return this.at(name).ordered[kind]?.count;
  }

  /**
   * Whether an order may be sent; each domain has at most one in flight, to preserve their order.
   */
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

  /** Records that the platform accepted the order (`isConfirmed`) or gave no answer. */
  onOrdered({ failureDomain, kind, count }: PlannedOrder, now: Millis, isConfirmed: boolean): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.ordered[kind] = { count, atMs: now, isConfirmed };
    if (kind === 'spot' && isConfirmed) {
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
