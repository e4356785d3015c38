/**
 * The queue of one service at its queue VM: counts the calls in progress of all VMs, switches
 * queueing on and off, and gives places to the waiting calls of all VMs. Its state is in memory and
 * is learned again from reports by the next queue VM.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { CancelTimer, Clock, Millis, Random, Timers } from '@limelead/types';
import { hasBrittleTarget, withAssumedBrittleness } from './brittle-targets.js';
import CallDispatcher, { type CallRefusal, type DispatchTarget } from './call-dispatcher.js';
import type { CompareCalls } from './order-calls.js';
import PlaceLimits from './place-limits.js';
import PlacesInUse from './places-in-use.js';
import type { AskPlaces, GivePlaces, PlaceReleased, ReportCalls } from './queue-messages.js';
import QueueAudience, { STATE_TTL_MS } from './queue-audience.js';
import { countSlots, type QueueFleet, type QueueTargets } from './queue-ports.js';
import QueueSwitch from './queue-switch.js';
import type { ShareOrder } from './share-order.js';
import TargetPaces from './target-paces.js';
import toQueuedCall from './to-queued-call.js';

/** Interval of checks for the state of the queue, lost grants and hopeless calls. */
const CHECK_INTERVAL_MS: Millis = 50;
/** Time in which a new queue VM learns the calls in progress before it gives places. */
const LEARNING_MS: Millis = 150;

/** Dependencies of `QueueHost`. */
export interface QueueHostOptions {
  service: string;
  fleet: QueueFleet;
  targets: QueueTargets;
  clock: Clock;
  timers: Timers;
  random: Random;
  shares: ShareOrder;
  compare: CompareCalls;
  /** Calls that a target gets beyond its slots. */
  extraCalls: number;
  log: Pick<DecisionLog, 'write'>;
  /** The state of the queue changed or is renewed, for this VM. */
  onState(isQueued: boolean): void;
  /** Grants and refusals for this VM. */
  onGiven(given: GivePlaces): void;
}

/** Gives the places of one service to all VMs. */
export default class QueueHost {
  private readonly dispatcher: CallDispatcher;
  private places = new PlacesInUse();
  private readonly paces = new TargetPaces();
  private readonly limits: PlaceLimits;
  private state = new QueueSwitch();
  private readonly audience: QueueAudience;
  /** Number of the last message of grants to each VM. */
  private readonly numbers = new Map<string, number>();
  private learnsUntilMs: Millis = -Infinity;
  /** Time at which this VM switched queueing off. */
  private endedAtMs: Millis = -Infinity;
  private cancelCheck: CancelTimer | undefined;
  private isDeciding = false;
  private mustDecideAgain = false;

  constructor(private readonly options: QueueHostOptions) {
    this.dispatcher = new CallDispatcher(options);
    this.limits = new PlaceLimits(options.extraCalls);
    this.audience = new QueueAudience(options);
  }

  /** Number of waiting calls of all VMs. */
  get length(): number {
    return this.dispatcher.length;
  }

  /** Continues the queue of another VM, which is gone. */
  takeOver(): void {
    if (!this.state.isOn) {
      this.state = new QueueSwitch(true);
      this.learnsUntilMs = this.now + LEARNING_MS;
      this.logState();
      this.options.onState(true);
      this.scheduleCheck();
    }
  }

  /** Handles that another VM is the queue VM now. */
  resign(): void {
    this.state = new QueueSwitch();
    this.places = new PlacesInUse();
    this.cancelCheck?.();
    this.cancelCheck = undefined;
    this.dispatcher.clear();
    this.audience.clear();
  }

  /** A call of this VM started. */
  onOwnCall(): void {
    this.scheduleCheck();
  }

  onReport(vm: string, { inFlight, received }: ReportCalls): void {
    this.audience.hear(vm, this.state.isOn);
    this.scheduleCheck();
    this.places.report(vm, inFlight, received, this.now);
    this.checkState();
    this.decide();
  }

  onAsk(vm: string, { wants, isWhole, avoid, received }: AskPlaces): void {
    const { self } = this.options.fleet;
    if (vm !== self) {
      this.audience.hear(vm, this.state.isOn);
    }
    const now = this.now;
    if (!this.state.isOn && now - this.endedAtMs < STATE_TTL_MS) {
      this.audience.announce(vm, false);
      return;
    }
    // A VM asks only if another queue VM announced that the service is queued.
    this.takeOver();
    const calls = wants
      .filter(([id]) => !this.places.isGranted(vm, id, received))
      .map((want) => toQueuedCall(vm, want, now));
    this.dispatcher.setWaiting(vm, calls, isWhole, now);
    this.dispatcher.setAvoided(vm, avoid);
    const before = this.numbers.get(vm) ?? 0;
    this.decide();
    if (vm !== self && (this.numbers.get(vm) ?? 0) === before) {
      this.give(vm, [], []);
    }
  }

  onReleased(vm: string, { target, tookMs, isRejected }: PlaceReleased): void {
    const now = this.now;
    this.places.release(vm, target);
    if (tookMs !== null) {
      this.paces.recordAnswer(target, tookMs, now);
    }
    if (isRejected) {
      this.limits.recordRejection(target, this.places.countByTarget().get(target) ?? 0, now);
    }
    this.decide();
  }

  /** The link to a VM is lost. */
  onVmLost(vm: string): void {
    this.places.forget(vm);
    this.dispatcher.forget(vm);
    this.audience.forget(vm);
    this.numbers.delete(vm);
    this.decide();
  }

  private get now(): Millis {
    return this.options.clock.now();
  }

  private scheduleCheck(): void {
    this.cancelCheck ??= this.options.timers.after(CHECK_INTERVAL_MS, () => {
      this.cancelCheck = undefined;
      this.check();
    });
  }

  private check(): void {
    const { fleet, service } = this.options;
    if (fleet.chooseQueueVm(service) !== fleet.self) {
      this.resign();
      return;
    }
    const now = this.now;
    this.places.reclaim(now);
    this.checkState();
    if (this.state.isOn) {
      this.audience.renew();
      this.options.onState(true);
      if (now >= this.learnsUntilMs) {
        this.distribute([], this.dispatcher.refuseHopeless(this.listTargets(), now));
      }
      this.decide();
    }
    if (this.state.isOn || this.countInProgress() > 0) {
      this.scheduleCheck();
    }
  }

  private checkState(): void {
    const { fleet, targets, service } = this.options;
    this.reportOwnCalls();
    const listed = targets.list(service);
    const isForced = hasBrittleTarget(listed);
    const inProgress = this.countInProgress();
    if (this.state.update(countSlots(listed), fleet.countVms(), inProgress, this.now, isForced)) {
      this.logState();
      if (!this.state.isOn) {
        this.endedAtMs = this.now;
        this.dispatcher.clear();
      }
      this.audience.announceToAll(this.state.isOn);
      this.options.onState(this.state.isOn);
    }
  }

  private countInProgress(): number {
    const used = [...this.places.countByTarget().values()].reduce((sum, calls) => sum + calls, 0);
    return used + this.dispatcher.length;
  }

  private reportOwnCalls(): void {
    const { fleet, targets, service } = this.options;
    const inFlight = targets
      .list(service)
      .filter((target) => target.inFlight > 0)
      .map((target): [string, number] => [target.id, target.inFlight]);
    this.places.report(fleet.self, inFlight, Infinity, this.now);
  }

  private listTargets(): DispatchTarget[] {
    const now = this.now;
    const { targets, service } = this.options;
    const listed = withAssumedBrittleness(targets.list(service));
    const ids = new Set(listed.map(({ id }) => id));
    [this.places, this.paces, this.limits].forEach((state) => state.retain(ids));
    const counts = this.places.countByTarget();
    // If all targets seem to be down, each gets one call as a trial.
    const isTrial = listed.every(({ isSuspected }) => isSuspected);
    return listed.map((target) => {
      const { id } = target;
      const used = counts.get(id) ?? 0;
      this.paces.recordUse(id, used > 0, now);
      const silenceMs = this.paces.silenceMs(id, now);
      const use = { silenceMs, usualMs: this.paces.usualMs, used };
      const limit = isTrial ? 1 : this.limits.limitOf(target, use, now);
      const expectedMs = this.paces.expectedMs(id, now);
      const meanMs = this.paces.meanMs(id, now);
      return { id, limit, free: Math.max(0, limit - used), expectedMs, meanMs };
    });
  }

  /** Gives all free places. Grants to this VM take effect at once, so a nested decision is postponed. */
  private decide(): void {
    this.mustDecideAgain = true;
    if (this.isDeciding) {
      return;
    }
    this.isDeciding = true;
    while (this.mustDecideAgain) {
      this.mustDecideAgain = false;
      if (this.state.isOn && this.now >= this.learnsUntilMs && this.dispatcher.length > 0) {
        this.reportOwnCalls();
        this.distribute(this.dispatcher.grant(this.listTargets(), this.now), []);
      }
    }
    this.isDeciding = false;
  }

  private distribute(
    grants: { vm: string; want: number; target: string }[],
    refusals: CallRefusal[],
  ): void {
    const vms = new Set([...grants, ...refusals].map(({ vm }) => vm));
    for (const vm of vms) {
      this.give(
        vm,
        grants.filter((grant) => grant.vm === vm),
        refusals.filter((refusal) => refusal.vm === vm),
      );
    }
  }

  private give(
    vm: string,
    grants: { want: number; target: string }[],
    refusals: Omit<CallRefusal, 'vm'>[],
  ): void {
    const { service, fleet } = this.options;
    const number = (this.numbers.get(vm) ?? 0) + 1;
    this.numbers.set(vm, number);
    grants.forEach((grant) => this.places.recordGrant(vm, { ...grant, number, atMs: this.now }));
    const given: GivePlaces = {
      service,
      number,
      grants: grants.map(({ want, target }) => [want, target]),
      refusals: refusals.map(({ want, retryAfterMs }) => [want, Math.round(retryAfterMs)]),
    };
    if (vm === fleet.self) {
      this.options.onGiven(given);
    } else {
      fleet.send(vm, { kind: 'give-places', ...given });
    }
  }

  private logState(): void {
    const { service, log, targets, fleet } = this.options;
    const slots = countSlots(targets.list(service));
    log.write('service-queued', {
      service,
      isOn: this.state.isOn,
      slots,
      inProgress: this.countInProgress(),
      vms: fleet.countVms(),
    });
  }
}
