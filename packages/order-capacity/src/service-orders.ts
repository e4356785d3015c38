/** What this holder ordered for one service, and what it was told of it. */
import type { Millis } from '@limelead/types';
import type { DomainView } from './domain-view.js';
import type { DomainState, PastOrder, TargetKind, WantedOrder } from './order-book.js';
import type { ServicePlan } from './service-plan.js';

/** Time between two questions for spot targets at a dry domain, in milliseconds. */
const ASK_MS = 1_000;
/**
 * A domain counts as dry for this long after it refused, in milliseconds, or until it gives:
 * asked at once, plain targets elsewhere would come and go.
 */
const DRY_MS = 5_000;
/** Time after a notice in which the platform surely takes targets away, in milliseconds. */
const RECLAIM_MS = 2_000;
/** Time after which a refused or unheard order may be given again, in milliseconds. */
const PAUSE_MS = 1_000;
/** Time after which an order that does not hold is tried again, in milliseconds: the configuration may have changed. */
const INVALID_PAUSE_MS = 10_000;

interface DomainOrders {
  ordered: Record<TargetKind, PastOrder | undefined>;
  dryUntilMs: Millis;
  askFromMs: Millis;
  pausedUntilMs: Millis;
  isSending: boolean;
  isReclaimed: boolean;
}

/** Holds it for as long as this VM holds the duty. */
export default class ServiceOrders {
  private readonly domains = new Map<string, DomainOrders>();

  /** Takes what is there; gives the domains whose spot targets are taken away now. */
  see(views: ReadonlyMap<string, DomainView>, now: Millis): string[] {
    const reclaimed: string[] = [];
    for (const [name, { isReclaimed }] of views) {
      const domain = this.at(name);
      if (isReclaimed && !domain.isReclaimed) {
        domain.dryUntilMs = now + DRY_MS;
        domain.askFromMs = now + RECLAIM_MS;
        // What was ordered is not what comes: the platform takes it away.
        domain.ordered.spot = undefined;
        reclaimed.push(name);
      }
      domain.isReclaimed = isReclaimed;
    }
    return reclaimed;
  }

  isDry(name: string, now: Millis): boolean {
    return this.at(name).dryUntilMs > now;
  }

  /** The last number that was ordered; undefined where this holder ordered none. */
  readOrdered(name: string, kind: TargetKind): number | undefined {
    return this.at(name).ordered[kind]?.count;
  }

  /** Whether an order may go out: one at a time for each domain, so that they keep their order. */
  mayOrder(name: string, now: Millis): boolean {
    const { isSending, pausedUntilMs } = this.at(name);
    return !isSending && pausedUntilMs <= now;
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
          there: { plain, spot },
          ordered: { ...this.at(name).ordered },
          isDry: this.isDry(name, now),
          ask: this.at(name).askFromMs <= now ? plan.open.get(name)?.spot : undefined,
        },
      ]),
    );
  }

  noteSending({ failureDomain }: WantedOrder): void {
    this.at(failureDomain).isSending = true;
  }

  /** The platform took it, or gave no answer. */
  noteOrdered({ failureDomain, kind, count }: WantedOrder, now: Millis, isSure: boolean): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.ordered[kind] = { count, atMs: now, isSure };
    if (kind === 'spot' && isSure) {
      domain.dryUntilMs = -Infinity;
    }
  }

  noteDry({ failureDomain }: WantedOrder, now: Millis): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.ordered.spot = undefined;
    domain.dryUntilMs = now + DRY_MS;
    domain.askFromMs = now + ASK_MS;
  }

  notePause({ failureDomain }: WantedOrder, now: Millis, isInvalid: boolean): void {
    const domain = this.at(failureDomain);
    domain.isSending = false;
    domain.pausedUntilMs = now + (isInvalid ? INVALID_PAUSE_MS : PAUSE_MS);
  }

  private at(name: string): DomainOrders {
    const known = this.domains.get(name);
    if (known !== undefined) {
      return known;
    }
    const domain: DomainOrders = {
      ordered: { plain: undefined, spot: undefined },
      dryUntilMs: -Infinity,
      askFromMs: -Infinity,
      pausedUntilMs: -Infinity,
      isSending: false,
      isReclaimed: false,
    };
    this.domains.set(name, domain);
    return domain;
  }
}
