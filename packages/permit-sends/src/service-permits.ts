/**
 * Permits of one service at one VM. The VM requests permits from the grantor, or grants them for
 * all VMs where it is the grantor itself. Without an answer it keeps to its share of the rates.
 */
import type { RateLimitedLog } from '@limelead/decision-log';
import type {
  CancelTimer,
  Clock,
  Millis,
  PermitRefusal,
  Random,
  Timers,
  WaitingRequest,
} from '@limelead/types';
import PermitRequestTracker from './permit-request-tracker.js';
import type { PermitRequest, PermitDecision } from './permit-grantor.js';
import type { AskPermits, GivePermits } from './permit-messages.js';
import type { PermitFleet } from './permit-ports.js';
import TimedGrantor from './timed-grantor.js';

/** Interval at which a VM with waiting requests repeats its permit request, so that a lost message is noticed. */
const REQUEST_REFRESH_MS: Millis = 200;
/** Minimum time between two permit requests, multiplied by the number of VMs, since one grantor answers them all. */
const MIN_REQUEST_PAUSE_PER_VM_MS: Millis = 0.5;
/** Time for an answer: several round trips between failure domains. After it the VM grants locally. */
const ANSWER_TIMEOUT_MS: Millis = 150;
/** Maximum number of waiting requests that one permit request names; the others wait until these are served. */
const MAX_WANTS = 50;
/** Id and rank of a spare permit, which is for the next arriving request and ranks after all waiting requests. */
const SPARE_PERMIT_ID = 0;
const SPARE_PERMIT_RANK = 1_000_000;
/** Minimum time between two spare permits; a request sent with one shows whether the target still has a limit. */
const SPARE_REQUEST_PAUSE_MS: Millis = 1_000;
/** An unused permit expires, so that its send does not fall into a later rate window. */
const PERMIT_TTL_MS: Millis = 250;

const NO_DECISIONS = { grants: [], refusals: [] };

/** Dependencies of `ServicePermits`. */
export interface ServicePermitsOptions {
  service: string;
  fleet: PermitFleet;
  clock: Clock;
  timers: Timers;
  random: Random;
  /** Updates the local allowance; returns the rest of each limited target's rate, in permits a second. */
  updateRates(): ReadonlyMap<string, number>;
  /** Waiting requests of this VM, in the order in which they are served. */
  listWaiting(): readonly WaitingRequest[];
  /** Limited targets that this VM can't send to now. */
  listAvoided(): ReadonlySet<string>;
  /** Whether all usable targets of the service have limits. */
  isEveryTargetLimited(): boolean;
  /** A permit was granted; returns false if no waiting request used it. */
  onGranted(target: string, untilMs: Millis): boolean;
  /** A spare permit was granted. */
  onSparePermit(target: string, untilMs: Millis): void;
  onRefused(want: number, refusal: PermitRefusal): void;
  count(outcome: 'granted' | 'returned' | 'stale' | 'refused'): void;
  logIsolation: RateLimitedLog;
}

/** Requests, grants and uses the permits of one service. */
export default class ServicePermits {
  /** Serves all VMs while this VM is the grantor. */
  private readonly fleetGrantor: TimedGrantor;
  /** Serves only this VM, with its share of the rates, while no grantor answers. */
  private readonly localGrantor: TimedGrantor;
  private isGrantor = false;
  private isIsolated = false;
  private readonly sentRequests: PermitRequestTracker;
  /** Number of the last permit request of each VM. */
  private readonly lastNumberByVm = new Map<string, number>();
  private lastRequestAtMs: Millis = -Infinity;
  private unansweredSinceMs: Millis | undefined;
  private spareWantedAtMs: Millis = -Infinity;
  private hasOpenRequest = false;
  private nextRequestAtMs: Millis = Infinity;
  private cancelNextRequest: CancelTimer | undefined;

  constructor(private readonly options: ServicePermitsOptions) {
    const { random } = options;
    this.sentRequests = new PermitRequestTracker(options.clock);
    this.fleetGrantor = new TimedGrantor({
      ...options,
      drawFirstDelay: () => 1,
      onDecision: (decision) => this.distribute(decision),
    });
    this.localGrantor = new TimedGrantor({
      ...options,
      drawFirstDelay: () => random.next(),
      onDecision: (decision) => this.applyOwnDecision(decision, this.localGrantor),
    });
  }

  /** Waiting requests of all VMs that this VM knows as their grantor. */
  get waitingCount(): number {
    return this.fleetGrantor.waitingCount;
  }

  /** The waiting requests of this VM changed. */
  onQueueChanged(): void {
    const pauseMs = this.options.fleet.countVms() * MIN_REQUEST_PAUSE_PER_VM_MS;
    this.scheduleRequest(Math.max(this.now, this.lastRequestAtMs + pauseMs));
  }

  /** A request was sent to a target without a limit, while other targets of the service have limits. */
  recordUnlimitedSend(): void {
    if (this.now - this.spareWantedAtMs >= SPARE_REQUEST_PAUSE_MS) {
      this.spareWantedAtMs = this.now;
      this.onQueueChanged();
    }
  }

  /** The rate of a target changed. */
  onRatesChanged(): void {
    this.applyRates();
    this.fleetGrantor.decide();
    this.onQueueChanged();
  }

  /** A VM requests permits; ignored unless this VM is the grantor. */
  onRequest(vm: string, { number, wants, avoid, mayRefuse, received }: AskPermits): void {
    if (this.options.fleet.chooseGrantor(this.options.service) !== this.options.fleet.self) {
      this.isGrantor = false;
      return;
    }
    this.startGranting();
    this.lastNumberByVm.set(vm, number);
    const now = this.now;
    const timed = wants.map(({ id, rank, leftMs }) => ({ id, rank, untilMs: now + leftMs }));
    this.fleetGrantor.setRequest({ vm, wants: timed, avoid: new Set(avoid), mayRefuse, received });
    // Acknowledges the permit request, even if nothing can be granted yet.
    this.sendDecision(vm, NO_DECISIONS);
    this.fleetGrantor.decide();
  }

  /** A grantor answered. */
  onGrants(vm: string, { number, grants, refusals }: GivePermits): void {
    if (!this.sentRequests.recordGrants(vm, number, grants.length)) {
      grants.forEach(() => this.options.count('stale'));
      return;
    }
    this.unansweredSinceMs = undefined;
    this.endIsolation();
    grants.forEach(({ want, target }) =>
      this.applyGrant(want, target, (unused) => this.returnPermit(vm, unused)),
    );
    refusals.forEach(({ want, retryAfterMs }) =>
      this.applyRefusal(want, { retryAfterMs, grantedBy: vm }),
    );
  }

  /** A VM returns a permit that it did not use. */
  onPermitReturned(vm: string, target: string): void {
    this.fleetGrantor.returnPermit(vm, target);
  }

  /** The link to a VM is lost. */
  onVmLost(vm: string): void {
    this.fleetGrantor.forget(vm);
    this.lastNumberByVm.delete(vm);
    this.sentRequests.forget(vm);
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  /** Sends a permit request at that time, unless an earlier one is scheduled. */
  private scheduleRequest(atMs: Millis): void {
    if (this.nextRequestAtMs <= atMs) {
      return;
    }
    this.cancelNextRequest?.();
    this.nextRequestAtMs = atMs;
    this.cancelNextRequest = this.options.timers.after(atMs - this.now, () => {
      this.nextRequestAtMs = Infinity;
      this.requestPermits();
    });
  }

  /** Requests permits for all waiting requests, and repeats that while there are any. */
  private requestPermits(): void {
    const wants = this.options.updateRates().size === 0 ? [] : this.listWaiting();
    if (wants.length === 0 && !this.hasOpenRequest) {
      return;
    }
    this.hasOpenRequest = wants.length > 0;
    this.lastRequestAtMs = this.now;
    this.routeRequest(wants);
    if (this.hasOpenRequest) {
      this.scheduleRequest(this.now + REQUEST_REFRESH_MS);
    }
  }

  private listWaiting(): WaitingRequest[] {
    const wants = this.options.listWaiting().slice(0, MAX_WANTS);
    const spareUntilMs = this.spareWantedAtMs + PERMIT_TTL_MS;
    return spareUntilMs > this.now
      ? [...wants, { id: SPARE_PERMIT_ID, rank: SPARE_PERMIT_RANK, untilMs: spareUntilMs }]
      : wants;
  }

  private routeRequest(wants: WaitingRequest[]): void {
    const { service, fleet } = this.options;
    const grantor = fleet.chooseGrantor(service);
    this.isGrantor &&= grantor === fleet.self;
    if (grantor === fleet.self) {
      this.startGranting();
      this.endIsolation();
      this.unansweredSinceMs = undefined;
      this.requestLocally(this.fleetGrantor, wants);
      return;
    }
    if (grantor !== undefined) {
      this.requestFromPeer(grantor, wants);
    }
    if (this.isIsolated || grantor === undefined) {
      this.grantLocally(wants, grantor);
    }
  }

  private requestLocally(grantor: TimedGrantor, wants: WaitingRequest[]): void {
    grantor.setRequest({
      ...this.describeRequest(wants),
      vm: this.options.fleet.self,
      received: Infinity,
    });
    grantor.decide();
  }

  private describeRequest(
    wants: WaitingRequest[],
  ): Pick<PermitRequest, 'wants' | 'avoid' | 'mayRefuse'> {
    const { listAvoided, isEveryTargetLimited } = this.options;
    return { wants, avoid: listAvoided(), mayRefuse: isEveryTargetLimited() };
  }

  private requestFromPeer(grantor: string, wants: WaitingRequest[]): void {
    const { service, fleet, timers } = this.options;
    const now = this.now;
    if (this.unansweredSinceMs === undefined) {
      this.unansweredSinceMs = now;
      timers.after(ANSWER_TIMEOUT_MS, () => this.checkAnswer(grantor));
    }
    const { avoid, mayRefuse } = this.describeRequest(wants);
    fleet.send(grantor, {
      kind: 'ask-permits',
      service,
      number: this.sentRequests.startRequest(),
      wants: wants.map(({ id, rank, untilMs }) => ({
        id,
        rank,
        leftMs: Math.round(untilMs - now),
      })),
      avoid: [...avoid],
      mayRefuse,
      received: this.sentRequests.countGrantsFrom(grantor),
    });
  }

  private checkAnswer(grantor: string): void {
    const sinceMs = this.unansweredSinceMs;
    if (sinceMs !== undefined && this.now - sinceMs >= ANSWER_TIMEOUT_MS) {
      this.grantLocally(this.listWaiting(), grantor);
    }
  }

  /** Keeps to this VM's share of the rates, since the sends of other VMs are unknown. */
  private grantLocally(wants: WaitingRequest[], grantor: string | undefined): void {
    if (!this.isIsolated) {
      const { service, fleet, logIsolation } = this.options;
      this.isIsolated = true;
      this.applyRates();
      this.localGrantor.postponeAll();
      logIsolation({ service, grantor, isAlone: true, vms: fleet.countVms() });
    }
    this.requestLocally(this.localGrantor, wants);
  }

  private endIsolation(): void {
    if (this.isIsolated) {
      this.isIsolated = false;
      this.localGrantor.forget(this.options.fleet.self);
      this.options.logIsolation({ service: this.options.service, isAlone: false });
    }
  }

  private startGranting(): void {
    this.applyRates();
    if (!this.isGrantor) {
      this.isGrantor = true;
      this.fleetGrantor.postponeAll();
    }
  }

  /** Reduces the fleet rate by the share of VMs that can't reach this one: another VM may grant them permits. */
  private applyRates(): void {
    const { fleet } = this.options;
    const vms = Math.max(1, fleet.countVms());
    const rates = this.options.updateRates();
    this.fleetGrantor.setRates(scale(rates, Math.min(1, fleet.countReachableVms() / vms)));
    this.localGrantor.setRates(scale(rates, 1 / vms));
  }

  /** Sends each VM the part of a decision that concerns it. */
  private distribute(decision: PermitDecision): void {
    const vms = new Set([...decision.grants, ...decision.refusals].map(({ vm }) => vm));
    for (const vm of vms) {
      if (vm === this.options.fleet.self) {
        this.applyOwnDecision(decision, this.fleetGrantor);
      } else {
        this.sendDecision(vm, decision);
      }
    }
  }

  private sendDecision(vm: string, { grants, refusals }: Omit<PermitDecision, 'nextAtMs'>): void {
    const { service, fleet } = this.options;
    fleet.send(vm, {
      kind: 'give-permits',
      service,
      number: this.lastNumberByVm.get(vm) ?? 0,
      grants: grants
        .filter((grant) => grant.vm === vm)
        .map(({ want, target }) => ({ want, target })),
      refusals: refusals
        .filter((refusal) => refusal.vm === vm)
        .map(({ want, retryAfterMs }) => ({ want, retryAfterMs: Math.round(retryAfterMs) })),
    });
  }

  private applyOwnDecision({ grants, refusals }: PermitDecision, from: TimedGrantor): void {
    const { self } = this.options.fleet;
    for (const { vm, want, target } of grants) {
      if (vm === self) {
        this.applyGrant(want, target, (unused) => from.returnPermit(self, unused));
      }
    }
    refusals
      .filter(({ vm }) => vm === self)
      .forEach(({ want, retryAfterMs }) =>
        this.applyRefusal(want, { retryAfterMs, grantedBy: self }),
      );
  }

  private applyGrant(want: number, target: string, returnUnused: (target: string) => void): void {
    const { count, onGranted, onSparePermit } = this.options;
    count('granted');
    if (want === SPARE_PERMIT_ID) {
      this.spareWantedAtMs = this.now - PERMIT_TTL_MS;
      onSparePermit(target, this.now + PERMIT_TTL_MS);
    } else if (!onGranted(target, this.now + PERMIT_TTL_MS)) {
      count('returned');
      returnUnused(target);
    }
    this.onQueueChanged();
  }

  private applyRefusal(want: number, refusal: PermitRefusal): void {
    this.options.count('refused');
    this.options.onRefused(want, refusal);
  }

  private returnPermit(vm: string, target: string): void {
    const { service, fleet } = this.options;
    fleet.send(vm, { kind: 'return-permit', service, target });
  }
}

function scale(rates: ReadonlyMap<string, number>, share: number): Map<string, number> {
  return new Map([...rates].map(([target, perSecond]) => [target, perSecond * share]));
}
