/** Pure decision: which orders lead from what is there and was ordered to what is wanted. */
import type { TargetCounts } from '@limelead/plan-capacity';
import type { Millis } from '@limelead/types';

/** Kinds of targets. */
export type TargetKind = keyof TargetCounts;

/** Targets of one kind in one failure domain. */
export interface PresentTargets {
  /** Those that take work. */
  ready: number;
  leaving: number;
}

/** One failure domain. */
export interface DomainState {
  wanted: TargetCounts;
  present: Record<TargetKind, PresentTargets>;
  /** The last order of each kind; undefined where this holder gave none that counts. */
  ordered: Record<TargetKind, SentOrder | undefined>;
  /** No spot target is to be had there now. */
  isSpotUnavailable: boolean;
  /** Spot targets that a dry domain may be asked for now, whether it has them again. */
  spotRetryCount: number | undefined;
}

/** An order that went out. */
export interface SentOrder {
  count: number;
  atMs: Millis;
  /** False where no answer came: it may be done, or be done seconds later. */
  isConfirmed: boolean;
}

/** Why an order goes out. */
export type OrderReason =
  | 'more'
  | 'fewer'
  /** What is there does not follow the last order. */
  | 'did-not-come'
  /** The last order got no answer. */
  | 'no-answer';

/** One order to send. */
export interface PlannedOrder {
  failureDomain: string;
  kind: TargetKind;
  count: number;
  reason: OrderReason;
}

/** What limits orders. */
export interface OrderLimits {
  now: Millis;
  /** Most targets of one failure domain, both kinds together. */
  max: number;
  /** Time from an order until the new target serves. */
  bootMs: Millis;
}

/** Time until an entry of a new target is read everywhere, and late orders are done, in milliseconds. */
const SETTLE_MARGIN_MS = 4_000;
/** Pause before an order without an answer is repeated, in milliseconds; it says the same number. */
const RETRY_DELAY_MS = 1_000;
const KINDS: readonly TargetKind[] = ['spot', 'plain'];

/** Lists orders, those for more targets first. */
export default function planOrders(
  domains: ReadonlyMap<string, DomainState>,
  limits: OrderLimits,
): PlannedOrder[] {
  const spare = new SpareTargets(domains);
  const orders: PlannedOrder[] = [];
  for (const [failureDomain, state] of domains) {
    for (const kind of KINDS) {
      const count = isDryOf(state, kind) ? askFor(state, limits) : aim(state, kind, spare, limits);
      const reason = findReason(state, kind, count, limits);
      if (reason !== undefined) {
        orders.push({ failureDomain, kind, count, reason });
      }
    }
  }
  return orders.sort((a, b) => Number(a.reason === 'fewer') - Number(b.reason === 'fewer'));
}

function isDryOf({ isSpotUnavailable }: DomainState, kind: TargetKind): boolean {
  return kind === 'spot' && isSpotUnavailable;
}

/** A dry domain is asked for what it would have if it were not; else nothing is ordered there. */
function askFor(state: DomainState, { max }: OrderLimits): number {
  const present = presentOf(state, 'spot');
  const most = Math.min(state.spotRetryCount ?? 0, max - presentOf(state, 'plain'));
  return Math.max(present, most);
}

/** Targets that may go, because as many as are wanted serve without them. */
class SpareTargets {
  private left: number;

  constructor(domains: ReadonlyMap<string, DomainState>) {
    this.left = 0;
    for (const { wanted, present, ordered } of domains.values()) {
      for (const kind of KINDS) {
        // The list may still show targets that were ordered away.
        this.left += Math.min(present[kind].ready, ordered[kind]?.count ?? Infinity) - wanted[kind];
      }
    }
  }

  take(most: number): number {
    const taken = Math.max(0, Math.min(most, this.left));
    this.left -= taken;
    return taken;
  }
}

/** What is to be ordered now: never fewer than others replace, nor more than the bound. */
function aim(
  state: DomainState,
  kind: TargetKind,
  spare: SpareTargets,
  { max }: OrderLimits,
): number {
  const wanted = state.wanted[kind];
  const present = presentOf(state, kind);
  if (wanted < present) {
    return present - spare.take(present - wanted);
  }
  const other = presentOf(state, kind === 'spot' ? 'plain' : 'spot');
  return Math.max(present, Math.min(wanted, max - other));
}

/** What was ordered last, or else what is there. */
function presentOf({ ordered, present }: DomainState, kind: TargetKind): number {
  return ordered[kind]?.count ?? present[kind].ready;
}

function findReason(
  state: DomainState,
  kind: TargetKind,
  count: number,
  { now, bootMs }: OrderLimits,
): OrderReason | undefined {
  const present = presentOf(state, kind);
  if (count !== present) {
    return count > present ? 'more' : 'fewer';
  }
  const last = state.ordered[kind];
  if (last === undefined || isDryOf(state, kind)) {
    return undefined;
  }
  const ageMs = now - last.atMs;
  if (!last.isConfirmed) {
    return ageMs >= RETRY_DELAY_MS ? 'no-answer' : undefined;
  }
  const isOff = state.present[kind].ready !== last.count;
  return isOff && ageMs >= bootMs + SETTLE_MARGIN_MS ? 'did-not-come' : undefined;
}
