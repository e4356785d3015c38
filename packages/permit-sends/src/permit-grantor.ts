/**
 * Decides which waiting request of which VM gets the next permit of a service's limited targets,
 * and which requests can't get one in time. Holds no timers and does no I/O.
 */
import type { Millis, Random, WaitingRequest } from '@limelead/types';
import RateBucket from './rate-bucket.js';

const SECOND_MS: Millis = 1_000;
/** TTL of a permit request; VMs with waiting requests repeat theirs more often. */
const REQUEST_TTL_MS: Millis = 500;
/** Minimum time left to a waiting request for a permit to be of use. */
const MIN_USABLE_MS: Millis = 50;
/** Longest individually scheduled retry time of a refused caller. */
const MAX_RETRY_AFTER_MS: Millis = 10_000;

/** The permits that one VM requests; replaces its previous permit request. */
export interface PermitRequest {
  vm: string;
  wants: readonly WaitingRequest[];
  /** Targets that the VM can't send to at present. */
  avoid: ReadonlySet<string>;
  /** Whether requests may be refused, which requires that all targets of the service have limits. */
  mayRefuse: boolean;
  /** Number of grants that the VM had received from this grantor when it sent the permit request. */
  received: number;
}

/** A permit for one waiting request. */
export interface Grant {
  vm: string;
  want: number;
  target: string;
}

/** A waiting request that can't get a permit in time. */
export interface Refusal {
  vm: string;
  want: number;
  retryAfterMs: Millis;
}

/** Grants and refusals that are due. */
export interface PermitDecision {
  grants: Grant[];
  refusals: Refusal[];
  /** When the next decision is due; Infinity if no request waits. */
  nextAtMs: Millis;
}

interface StoredPermitRequest extends PermitRequest {
  receivedAtMs: Millis;
}

interface WaitingEntry {
  permitRequest: StoredPermitRequest;
  want: WaitingRequest;
}

/** Options of `PermitGrantor`. */
export interface PermitGrantorOptions {
  random: Random;
  /** Delay of a target's first permit, in intervals between permits. */
  drawFirstDelay(): number;
}

/** Grants the permits of one service. */
export default class PermitGrantor {
  private readonly buckets = new Map<string, RateBucket>();
  private readonly requestsByVm = new Map<string, StoredPermitRequest>();
  /** Number of grants per VM. */
  private readonly grantCounts = new Map<string, number>();
  /** Earliest retry time that is not yet assigned to a refused caller. */
  private nextRetryAtMs: Millis = 0;

  constructor(private readonly options: PermitGrantorOptions) {}

  /** Waiting requests of all VMs. */
  get waitingCount(): number {
    return [...this.requestsByVm.values()].reduce((sum, { wants }) => sum + wants.length, 0);
  }

  /** Replaces the limited targets and the permits a second to grant for each. */
  setRates(rates: ReadonlyMap<string, number>, now: Millis): void {
    for (const target of [...this.buckets.keys()].filter((id) => !rates.has(id))) {
      this.buckets.delete(target);
    }
    for (const [target, perSecond] of rates) {
      const known = this.buckets.get(target);
      if (known === undefined) {
        const bucket = new RateBucket(perSecond, now, this.options.drawFirstDelay());
        this.buckets.set(target, bucket);
      } else {
        known.setRate(perSecond, now);
      }
    }
  }

  /** Replaces the permit request of a VM. */
  setRequest(request: PermitRequest, now: Millis): void {
    // Grants in transit when the VM sent its permit request already serve its most urgent wants.
    const inTransit = Math.max(0, (this.grantCounts.get(request.vm) ?? 0) - request.received);
    const wants = [...request.wants].sort(compareByUrgency).slice(inTransit);
    this.requestsByVm.set(request.vm, { ...request, wants, receivedAtMs: now });
  }

  /** Forgets a VM; a new process at its address starts with no grants. */
  forget(vm: string): void {
    this.requestsByVm.delete(vm);
    this.grantCounts.delete(vm);
  }

  /** Takes back an unused permit; the VM gets no other before its next permit request. */
  returnPermit(vm: string, target: string): void {
    this.requestsByVm.delete(vm);
    this.buckets.get(target)?.restore();
  }

  /** Makes no permit due at once, since another VM may have granted permits in the meantime. */
  postponeAll(now: Millis): void {
    this.buckets.forEach((bucket) => bucket.postpone(now, this.options.drawFirstDelay()));
  }

  /** Grants the permits that are due and refuses requests that can't get one in time. */
  decide(now: Millis): PermitDecision {
    this.dropExpired(now);
    const grants: Grant[] = [];
    const left: WaitingEntry[] = [];
    let ready = this.listReadyTargets(now);
    for (const waiting of this.listInServiceOrder()) {
      const target = ready.find((id) => !waiting.permitRequest.avoid.has(id));
      if (target === undefined) {
        left.push(waiting);
      } else {
        grants.push(this.grant(waiting, target, now));
        ready = this.listReadyTargets(now);
      }
    }
    return { grants, ...this.refuseLate(left, now) };
  }

  private dropExpired(now: Millis): void {
    for (const [vm, request] of this.requestsByVm) {
      const wants = request.wants.filter(({ untilMs }) => untilMs > now);
      if (wants.length === 0 || now - request.receivedAtMs > REQUEST_TTL_MS) {
        this.requestsByVm.delete(vm);
      } else {
        request.wants = wants;
      }
    }
  }

  /** Waiting requests of all VMs in the order in which they are served. */
  private listInServiceOrder(): WaitingEntry[] {
    return [...this.requestsByVm.values()]
      .flatMap((permitRequest) => permitRequest.wants.map((want) => ({ permitRequest, want })))
      .sort((a, b) => compareByUrgency(a.want, b.want));
  }

  /** Targets with a permit that is due, the longest due first. */
  private listReadyTargets(now: Millis): string[] {
    return [...this.buckets]
      .filter(([, { readyAtMs }]) => readyAtMs <= now)
      .sort(([, a], [, b]) => a.readyAtMs - b.readyAtMs)
      .map(([target]) => target);
  }

  private grant({ permitRequest, want }: WaitingEntry, target: string, now: Millis): Grant {
    this.buckets.get(target)?.consume(now);
    this.grantCounts.set(permitRequest.vm, (this.grantCounts.get(permitRequest.vm) ?? 0) + 1);
    permitRequest.wants = permitRequest.wants.filter((other) => other !== want);
    return { vm: permitRequest.vm, want: want.id, target };
  }

  private refuseLate(
    left: WaitingEntry[],
    now: Millis,
  ): Pick<PermitDecision, 'refusals' | 'nextAtMs'> {
    const buckets = [...this.buckets.values()];
    const firstAtMs = Math.max(now, Math.min(...buckets.map(({ readyAtMs }) => readyAtMs)));
    const perSecond = buckets.reduce((sum, bucket) => sum + bucket.perSecond, 0);
    const refusals: Refusal[] = [];
    let before = 0;
    for (const { permitRequest, want } of left) {
      const servedAtMs = firstAtMs + (before * SECOND_MS) / perSecond;
      if (permitRequest.mayRefuse && servedAtMs > want.untilMs - MIN_USABLE_MS) {
        permitRequest.wants = permitRequest.wants.filter((other) => other !== want);
        const earliestAtMs = now + Math.max(0, servedAtMs - want.untilMs);
        const retryAfterMs = this.scheduleRetry(earliestAtMs, SECOND_MS / perSecond, now);
        refusals.push({ vm: permitRequest.vm, want: want.id, retryAfterMs });
      } else {
        before += 1;
      }
    }
    const isIdle = before === 0;
    return { refusals, nextAtMs: isIdle ? Infinity : this.findNextDecisionAtMs(now) };
  }

  /** Assigns each refused caller a retry time of its own, so that they don't retry all at once. */
  private scheduleRetry(earliestAtMs: Millis, stepMs: Millis, now: Millis): Millis {
    const atMs = Math.max(earliestAtMs, this.nextRetryAtMs);
    if (atMs - now > MAX_RETRY_AFTER_MS) {
      return MAX_RETRY_AFTER_MS * (1 + this.options.random.next());
    }
    this.nextRetryAtMs = atMs + stepMs;
    return atMs - now;
  }

  /** When the next permit is due; skips ready permits, which all waiting VMs avoid. */
  private findNextDecisionAtMs(now: Millis): Millis {
    const times = [...this.buckets.values()].map(({ readyAtMs }) => readyAtMs);
    return Math.min(...times.filter((atMs) => atMs > now), now + REQUEST_TTL_MS);
  }
}

function compareByUrgency(a: WaitingRequest, b: WaitingRequest): number {
  return a.rank - b.rank || a.untilMs - b.untilMs;
}
