/** Plans the orders that lead from the present and ordered targets to the wanted ones. */
import type { TargetCounts } from '@limelead/plan-capacity';
import type { Millis } from '@limelead/types';

export type TargetKind = keyof TargetCounts;

/** Targets of one kind in one failure domain. */
export interface PresentTargets {
  /** Targets that accept requests. */
  ready: number;
  leaving: number;
}

/** Wanted, present and ordered targets of one failure domain. */
export interface DomainState {
  wanted: TargetCounts;
  present: Record<TargetKind, PresentTargets>;
  /** The last valid order of each kind; undefined if this holder sent none. */
  ordered: Record<TargetKind, SentOrder | undefined>;
  /** True while no spot targets are available. */
  isSpotUnavailable: boolean;
  /** Spot targets to request again now in a domain without available ones. */
  spotRetryCount: number | undefined;
}

/** An order that was sent. */
export interface SentOrder {
  count: number;
  atMs: Millis;
  /** False if no answer came: the order may or may not be carried out, possibly seconds later. */
  isConfirmed: boolean;
}

/** Reason for an order. */
export type OrderReason =
  | 'more'
  | 'fewer'
  /** The present targets do not match the last order. */
  | 'did-not-come'
  /** The last order got no answer. */
  | 'no-answer';

/** An order to send. */
export interface PlannedOrder {
  failureDomain: string;
  kind: TargetKind;
  count: number;
  reason: OrderReason;
}

/** Limits on orders. */
export interface OrderLimits {
  now: Millis;
  /** Maximum targets of one failure domain, both kinds together. */
  max: number;
  /** Time from an order until the new target serves. */
  bootMs: Millis;
}

/** Time until a new target's entry reaches all VMs and late orders are carried out. */
const SETTLE_MARGIN_MS = 4_000;
/** Time before an unanswered order is repeated with the same count. */
const RETRY_DELAY_MS = 1_000;
const KINDS: readonly TargetKind[] = ['spot', 'plain'];

/** Returns the orders to send, those for more targets first. */
export default function planOrders(
  domains: ReadonlyMap<string, DomainState>,
  limits: OrderLimits,
): PlannedOrder[] {
  const spareTargets = new SpareTargets(domains);
  const orders: PlannedOrder[] = [];
  for (const [failureDomain, state] of domains) {
    for (const kind of KINDS) {
      const count = lacksSpot(state, kind)
        ? nextSpotRetryCount(state, limits)
        : nextCount(state, kind, spareTargets, limits);
      const reason = orderReason(state, kind, count, limits);
      if (reason !== undefined) {
        orders.push({ failureDomain, kind, count, reason });
      }
    }
  }
  return orders.sort((a, b) => Number(a.reason === 'fewer') - Number(b.reason === 'fewer'));
}

function lacksSpot({ isSpotUnavailable }: DomainState, kind: TargetKind): boolean {
  return kind === 'spot' && isSpotUnavailable;
}

/**
 * Count to request where spot targets are unavailable: the unconstrained count during a retry,
 * otherwise no change.
 */
function nextSpotRetryCount(state: DomainState, { max }: OrderLimits): number {
  const present = currentCount(state, 'spot');
  const limit = Math.min(state.spotRetryCount ?? 0, max - currentCount(state, 'plain'));
  return Math.max(present, limit);
}

/** Budget of targets that may be removed while enough others serve. */
class SpareTargets {
  private left: number;

  constructor(domains: ReadonlyMap<string, DomainState>) {
    this.left = 0;
    for (const { wanted, present, ordered } of domains.values()) {
      for (const kind of KINDS) {
        // The list may still show targets whose removal was ordered.
        this.left += Math.min(present[kind].ready, ordered[kind]?.count ?? Infinity) - wanted[kind];
      }
    }
  }

  take(limit: number): number {
    const granted = Math.max(0, Math.min(limit, this.left));
    this.left -= granted;
    return granted;
  }
}

/** Count to order now: removes no more than the spare targets and stays within the maximum. */
function nextCount(
  state: DomainState,
  kind: TargetKind,
  spareTargets: SpareTargets,
  { max }: OrderLimits,
): number {
  const wanted = state.wanted[kind];
  const present = currentCount(state, kind);
  if (wanted < present) {
    return present - spareTargets.take(present - wanted);
  }
  const other = currentCount(state, kind === 'spot' ? 'plain' : 'spot');
  return Math.max(present, Math.min(wanted, max - other));
}

/** Last ordered count, or else the present count. */
function currentCount({ ordered, present }: DomainState, kind: TargetKind): number {
  return ordered[kind]?.count ?? present[kind].ready;
}

function orderReason(
  state: DomainState,
  kind: TargetKind,
  count: number,
  { now, bootMs }: OrderLimits,
): OrderReason | undefined {
  const present = currentCount(state, kind);
  if (count !== present) {
    return count > present ? 'more' : 'fewer';
  }
  const last = state.ordered[kind];
  if (last === undefined || lacksSpot(state, kind)) {
    return undefined;
  }
  const ageMs = now - last.atMs;
  if (!last.isConfirmed) {
    return ageMs >= RETRY_DELAY_MS ? 'no-answer' : undefined;
  }
  const isMismatched = state.present[kind].ready !== last.count;
  return isMismatched && ageMs >= bootMs + SETTLE_MARGIN_MS ? 'did-not-come' : undefined;
}
