/**
 * A target names one rate for the whole fleet. A VM that kept it alone would send as many
 * times too much as there are VMs, so permits to send come from one VM for all.
 *
 * Keeps the sends of this VM, and with those of the others the sends of all, within what each target
 * names. Nothing is asked, told or looked up while no target names a limit.
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
  type WaitingRequests,
} from '@limelead/types';
import type { LimitFact } from './limit-book.js';
import OwnParts from './own-parts.js';
import type { PermitMessage } from './permit-messages.js';
import PermitsAtHand from './permits-at-hand.js';
import type { LimitFleet, PermitTargets } from './permit-ports.js';
import ServicePermits from './service-permits.js';
import TargetLimits from './target-limits.js';

/** A target whose permit no request here could use is not asked for again so soon. */
const UNUSED_PAUSE_MS: Millis = 200;
/** What is known of a target that this VM does not know is kept so long: it may be listed yet. */
const KEEP_UNKNOWN_MS: Millis = 60_000;

/** What is needed. */
export interface SendPermitsOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: Pick<DecisionLog, 'write'>;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  fleet: LimitFleet;
  targets: PermitTargets;
}

const NOBODY: WaitingRequests = {
  list: () => [],
  serve: () => undefined,
  refuse: () => undefined,
  isAvoided: () => false,
};

/** One VM's permits. */
export default class SendPermits {
  private readonly limits: TargetLimits;
  private readonly services = new Map<string, ServicePermits>();
  private readonly atHand = new PermitsAtHand();
  private readonly unused = new RecentTimes(UNUSED_PAUSE_MS);
  private readonly parts: OwnParts;
  private readonly noteAlone: RateLimitedLog;
  private waiting: WaitingRequests = NOBODY;

  constructor(private readonly options: SendPermitsOptions) {
    const { clock, random, log, metrics, fleet } = options;
    this.parts = new OwnParts(random);
    this.noteAlone = createRateLimitedLog(log, clock, 'permits-alone');
    this.limits = new TargetLimits({
      clock,
      random,
      log,
      metrics,
      publish: (facts, from) => fleet.publishLimits(facts, from),
      sendCorrection: (vm, facts) => fleet.sendLimitCorrection(vm, facts),
      onChange: (target) => this.onChange(target),
    });
    metrics.gauge('limelead_requests_waiting_for_permits', () => this.countWaiting());
  }

  /** Requests that wait are asked about, and told what became of it. */
  attach(waiting: WaitingRequests): void {
    this.waiting = waiting;
  }

  /** Whether any target names a limit; while none does, every request may go anywhere. */
  get isLimiting(): boolean {
    return this.limits.limited.size > 0;
  }

  /**
   * Whether a request may go to a target now.
   * @param isExtra a second send beside the first, which takes no permit from another request
   */
  maySend(target: string, isExtra = false): boolean {
    if (this.limits.read(target) === undefined) {
      return true;
    }
    const { now } = this;
    return !isExtra && (this.parts.has(target, now) || this.atHand.has(target, now));
  }

  /** A request goes there now. */
  recordSend(target: string, service: string): void {
    if (!this.isLimiting) {
      return;
    }
    if (this.limits.read(target) === undefined) {
      this.open(service).recordSendElsewhere();
    } else if (!this.parts.take(target, this.now)) {
      this.atHand.take(target, this.now);
    }
  }

  /** Requests for a service wait for a place, or no longer. */
  onQueueChanged(service: string): void {
    if (this.isLimiting) {
      this.open(service).onQueueChanged();
    }
  }

  /** An answer came to a request that was sent then. */
  onResponse(target: string, told: AdvertisedLimit, askedAtMs: Millis): void {
    this.limits.onResponse(target, told, askedAtMs);
  }

  /** Another VM told limits. */
  onPeerUpdate(vm: string, facts: LimitFact[]): void {
    this.limits.onPeerUpdate(vm, facts);
    this.forgetUnknown();
  }

  /** All limits that are known, for a VM that has just met this one. */
  listLimits(): LimitFact[] {
    return this.limits.list();
  }

  /** A VM asks, gives or returns permits. */
  hear(vm: string, message: PermitMessage): void {
    const service = this.open(message.service);
    switch (message.kind) {
      case 'ask-permits':
        service.onAsk(vm, message);
        break;
      case 'give-permits':
        service.onGiven(vm, message);
        break;
      case 'return-permit':
        service.onReturned(vm, message.target);
        break;
    }
  }

  /** The link to a VM is lost. */
  onPeerLost(vm: string): void {
    this.services.forEach((service) => service.onVmLost(vm));
  }

  /** That incarnation is over. */
  forget(target: string): void {
    this.limits.forget(target);
    this.parts.forget(target);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private countWaiting(): number {
    return [...this.services.values()].reduce((sum, { waiting }) => sum + waiting, 0);
  }

  private onChange(target: string): void {
    const service = this.options.targets.serviceOf(target);
    if (this.limits.read(target) === undefined) {
      this.parts.forget(target);
    }
    if (service !== undefined) {
      this.open(service).onRates();
      this.waiting.serve();
    }
  }

  private open(service: string): ServicePermits {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const { clock, timers, random, metrics, fleet, targets } = this.options;
    const isLimited = (target: string): boolean => this.limits.read(target) !== undefined;
    const created = new ServicePermits({
      ...{ service, fleet, clock, timers, random, noteAlone: this.noteAlone },
      takeRates: () => this.takeRates(service),
      listWants: () => this.waiting.list(service),
      listAvoided: () =>
        new Set(targets.listUsable(service).filter((id) => isLimited(id) && this.isAvoided(id))),
      isAllLimited: () => targets.listUsable(service).every(isLimited),
      onGranted: (target, untilMs) => this.useNow(service, target, untilMs),
      onSpare: (target, untilMs) => this.atHand.add(target, untilMs),
      onRefused: (want, refusal) => this.waiting.refuse(want, refusal),
      count: (outcome) => metrics.count('limelead_permits_total', 1, { outcome }),
    });
    this.services.set(service, created);
    return created;
  }

  private isAvoided(target: string): boolean {
    return this.waiting.isAvoided(target) || this.unused.ageMs(target, this.now) !== undefined;
  }

  /** Puts the own parts aside; gives what is granted to those who ask, of the targets that take work. */
  private takeRates(service: string): Map<string, number> {
    const { fleet, targets } = this.options;
    const vms = fleet.countVms();
    const rates = new Map<string, number>();
    for (const target of targets.listUsable(service)) {
      const perSecond = this.limits.read(target);
      if (perSecond !== undefined) {
        rates.set(target, this.parts.setRate(target, perSecond, vms, this.now));
      }
    }
    return rates;
  }

  /** A request that waits takes the permit; false where none did. */
  private useNow(service: string, target: string, untilMs: Millis): boolean {
    this.atHand.add(target, untilMs);
    this.waiting.serve();
    const isUsed = !this.atHand.take(target, this.now);
    if (!isUsed && this.waiting.list(service).length > 0) {
      this.unused.note(target, this.now);
    }
    return isUsed;
  }

  /** Targets that are not listed, and were not for long. */
  private forgetUnknown(): void {
    const sinceMs = this.now - KEEP_UNKNOWN_MS;
    this.limits
      .list()
      .filter(({ target, askedAtMs }) => askedAtMs < sinceMs && !this.isKnown(target))
      .forEach(({ target }) => this.forget(target));
  }

  private isKnown(target: string): boolean {
    return this.options.targets.serviceOf(target) !== undefined;
  }
}
