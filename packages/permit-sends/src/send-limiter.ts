/**
 * A target advertises one rate limit for the whole fleet. One VM per service, the grantor, gives
 * out permits, so that the sends of all VMs together stay within the limit. No messages are sent
 * while no target has a limit.
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
  type Timers,
  type AdvertisedLimit,
  type WaitingRequestQueue,
} from '@limelead/types';
import type { LimitUpdate } from './limit-table.js';
import LocalAllowance from './local-allowance.js';
import type { PermitMessage } from './permit-messages.js';
import HeldPermits from './held-permits.js';
import type { LimitFleet, PermitTargets } from './permit-ports.js';
import ServicePermits from './service-permits.js';
import TargetLimits from './target-limits.js';

/** No permit is requested for a target this long after no waiting request could use one. */
const UNUSED_PERMIT_PAUSE_MS: Millis = 200;
/** How long the limit of an unlisted target is kept, since the target may be listed soon. */
const UNKNOWN_TARGET_TTL_MS: Millis = 60_000;

/** Dependencies of `SendLimiter`. */
export interface SendLimiterOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  fleet: LimitFleet;
  targets: PermitTargets;
}

const EMPTY_QUEUE: WaitingRequestQueue = {
  list: () => [],
  serve: () => undefined,
  refuse: () => undefined,
  isAvoided: () => false,
};

/** Limits the sends of one VM. */
export default class SendLimiter {
  private readonly limits: TargetLimits;
  private readonly services = new Map<string, ServicePermits>();
  private readonly heldPermits = new HeldPermits();
  private readonly unusedPermits = new RecentTimes(UNUSED_PERMIT_PAUSE_MS);
  private readonly allowance: LocalAllowance;
  private readonly logIsolation: RateLimitedLog;
  private queue: WaitingRequestQueue = EMPTY_QUEUE;

  constructor(private readonly options: SendLimiterOptions) {
    const { clock, random, log, metrics, fleet } = options;
    this.allowance = new LocalAllowance(random);
    this.logIsolation = createRateLimitedLog(log, clock, 'permits-alone');
    this.limits = new TargetLimits({
      clock,
      random,
      log,
      metrics,
      publish: (updates, from) => fleet.publishLimits(updates, from),
      sendCorrection: (vm, updates) => fleet.sendLimitCorrection(vm, updates),
      onChange: (target) => this.onChange(target),
    });
    metrics.gauge('limelead_requests_waiting_for_permits', () => this.countWaiting());
  }

  /** Sets the queue of waiting requests that permits are requested for. */
  attach(queue: WaitingRequestQueue): void {
    this.queue = queue;
  }

  /** Whether any target has a limit; otherwise every request may be sent to any target. */
  get hasLimits(): boolean {
    return this.limits.limitedTargets.size > 0;
  }

  /**
   * Whether a request may be sent to a target now.
   * @param isHedge a hedge is never sent to a limited target, since it would use another request's permit
   */
  canSend(target: string, isHedge = false): boolean {
    if (this.limits.getRate(target) === undefined) {
      return true;
    }
    const { now } = this;
    return !isHedge && (this.allowance.canSend(target, now) || this.heldPermits.has(target, now));
  }

  /** Uses a permit for a request that is sent now. */
  recordSend(target: string, service: string): void {
    if (!this.hasLimits) {
      return;
    }
    if (this.limits.getRate(target) === undefined) {
      this.openService(service).recordUnlimitedSend();
    } else if (!this.allowance.consume(target, this.now)) {
      this.heldPermits.consume(target, this.now);
    }
  }

  /** The waiting requests of a service changed. */
  onQueueChanged(service: string): void {
    if (this.hasLimits) {
      this.openService(service).onQueueChanged();
    }
  }

  /**
   * Handles the limit in a target's response.
   * @param askedAtMs when the request was sent
   */
  onResponse(target: string, limit: AdvertisedLimit, askedAtMs: Millis): void {
    this.limits.onResponse(target, limit, askedAtMs);
  }

  /** Handles limit updates of a peer. */
  onPeerUpdate(vm: string, updates: LimitUpdate[]): void {
    this.limits.onPeerUpdate(vm, updates);
    this.forgetUnknownTargets();
  }

  /** All known limit updates, for a newly linked VM. */
  listLimits(): LimitUpdate[] {
    return this.limits.list();
  }

  /** Handles a message of a VM about permits. */
  onMessage(vm: string, message: PermitMessage): void {
    const service = this.openService(message.service);
    switch (message.kind) {
      case 'ask-permits':
        service.onRequest(vm, message);
        break;
      case 'give-permits':
        service.onGrants(vm, message);
        break;
      case 'return-permit':
        service.onPermitReturned(vm, message.target);
        break;
    }
  }

  /** The link to a VM is lost. */
  onPeerLost(vm: string): void {
    this.services.forEach((service) => service.onVmLost(vm));
  }

  /** Forgets an incarnation that ended. */
  forget(target: string): void {
    this.limits.forget(target);
    this.allowance.forget(target);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private countWaiting(): number {
    return [...this.services.values()].reduce((sum, { waitingCount }) => sum + waitingCount, 0);
  }

  private onChange(target: string): void {
    const service = this.options.targets.serviceOf(target);
    if (this.limits.getRate(target) === undefined) {
      this.allowance.forget(target);
    }
    if (service !== undefined) {
      this.openService(service).onRatesChanged();
      this.queue.serve();
    }
  }

  private openService(service: string): ServicePermits {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const { clock, timers, random, metrics, fleet, targets } = this.options;
    const isLimited = (target: string): boolean => this.limits.getRate(target) !== undefined;
    const created = new ServicePermits({
      ...{ service, fleet, clock, timers, random, logIsolation: this.logIsolation },
      updateRates: () => this.updateRates(service),
      listWaiting: () => this.queue.list(service),
      listAvoided: () =>
        new Set(targets.listUsable(service).filter((id) => isLimited(id) && this.isAvoided(id))),
      isEveryTargetLimited: () => targets.listUsable(service).every(isLimited),
      onGranted: (target, untilMs) => this.offerPermit(service, target, untilMs),
      onSparePermit: (target, untilMs) => this.heldPermits.add(target, untilMs),
      onRefused: (want, refusal) => this.queue.refuse(want, refusal),
      count: (outcome) => metrics.count('limelead_permits_total', 1, { outcome }),
    });
    this.services.set(service, created);
    return created;
  }

  private isAvoided(target: string): boolean {
    return this.queue.isAvoided(target) || this.unusedPermits.ageMs(target, this.now) !== undefined;
  }

  /** Updates the local allowance; returns the rest of each limited, usable target's rate. */
  private updateRates(service: string): Map<string, number> {
    const { fleet, targets } = this.options;
    const vms = fleet.countVms();
    const rates = new Map<string, number>();
    for (const target of targets.listUsable(service)) {
      const perSecond = this.limits.getRate(target);
      if (perSecond !== undefined) {
        rates.set(target, this.allowance.setRate(target, perSecond, vms, this.now));
      }
    }
    return rates;
  }

  /** Offers a permit to the waiting requests; returns false if none used it. */
  private offerPermit(service: string, target: string, untilMs: Millis): boolean {
    this.heldPermits.add(target, untilMs);
    this.queue.serve();
    const isUsed = !this.heldPermits.consume(target, this.now);
    if (!isUsed && this.queue.list(service).length > 0) {
      this.unusedPermits.record(target, this.now);
    }
    return isUsed;
  }

  /** Forgets old limits of targets that are not listed. */
  private forgetUnknownTargets(): void {
    const sinceMs = this.now - UNKNOWN_TARGET_TTL_MS;
    this.limits
      .list()
      .filter(({ target, askedAtMs }) => askedAtMs < sinceMs && !this.isKnown(target))
      .forEach(({ target }) => this.forget(target));
  }

  private isKnown(target: string): boolean {
    return this.options.targets.serviceOf(target) !== undefined;
  }
}
