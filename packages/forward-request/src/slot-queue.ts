/**
 * Queue of the requests that wait for a slot, ordered by rank, fair share and deadline.
 * All slots at targets are acquired here.
 */
import { chooseServiceTarget, type ServiceTargetCriteria } from '@limelead/choose-service-target';
import type { Locality } from '@limelead/locality';
import { isSuspected, type TrackedServiceTarget } from '@limelead/track-service-targets';
import type {
  CancelTimer,
  Millis,
  PermitRefusal,
  ReleasePlace,
  Timers,
  WaitingCall,
  WaitingRequest,
} from '@limelead/types';
import { NO_CALL_QUEUES, type CallPlaces } from './call-places.js';
import RepeatMarker from './repeat-marker.js';
import { NO_SHARES, type RequestShares } from './request-shares.js';
import type { Slot, SlotRequest } from './slot-request.js';
import { sortWaiters, toWaitingCall, type OnSlot, type SlotWaiter } from './slot-waiter.js';
import TargetAvailability, { type TargetAvailabilityOptions } from './target-availability.js';

/** Interval of retries for waiting requests: suspicion and pauses expire without an event. */
const RETRY_INTERVAL_MS = 20;

export interface SlotQueueOptions extends Omit<TargetAvailabilityOptions, 'places'> {
  timers: Timers;
  /** Places of queued services; without it no service is queued. */
  places?: CallPlaces;
  /** Without it all organisations are alike. */
  shares?: RequestShares;
  failureDomain: string;
  locality: Locality;
}

/** Assigns slots at targets to requests. */
export default class SlotQueue {
  private waiters: SlotWaiter[] = [];
  private cancelTimer: CancelTimer | undefined;
  private lastId = 0;
  private readonly availability: TargetAvailability;
  private readonly places: CallPlaces;
  private readonly shares: RequestShares;
  private readonly repeats = new RepeatMarker();

  constructor(private readonly options: SlotQueueOptions) {
    this.places = options.places ?? NO_CALL_QUEUES;
    this.shares = options.shares ?? NO_SHARES;
    this.availability = new TargetAvailability({ ...options, places: this.places });
    options.directory.subscribe(() => this.serveWaiters());
    options.permits.attach({
      list: (service) => this.listWaiting(service),
      serve: () => this.serveWaiters(),
      refuse: (id, refusal) => this.refuse(id, refusal),
      isAvoided: (targetId) => this.availability.isAvoided(targetId),
    });
    this.places.attach({
      list: (service) => this.listWaitingCalls(service),
      serve: () => this.serveWaiters(),
      serveAt: (id, targetId) => this.serveAt(id, targetId),
      refuse: (id, refusal) => this.refuse(id, refusal, 'no-place'),
      isAvoided: (targetId) => !this.availability.canUsePlace(targetId),
    });
  }

  /** Acquires a slot at the target if it is available and has a free slot. */
  acquireAt(
    targetId: string,
    replicaTargetId?: string,
    request?: Pick<SlotRequest, 'admitted'>,
  ): Slot | undefined {
    const tracked = this.options.directory.get(targetId);
    const isFree =
      tracked !== undefined &&
      this.availability.hasFreeSlot(tracked) &&
      this.availability.isAvailable(tracked);
    return isFree ? this.occupySlot(tracked, request, replicaTargetId) : undefined;
  }

  /** Acquires a slot at the target of a replica, which already holds the run's memory. */
  acquireAtReplica(targetId: string): Slot | undefined {
    const tracked = this.options.directory.get(targetId);
    return tracked !== undefined && this.availability.isAvailable(tracked)
      ? this.occupySlot(tracked)
      : undefined;
  }

  /** Whether requests of a service wait in the queue of all VMs. */
  isQueued(service: string): boolean {
    return this.places.isQueued(service);
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Acquires a slot at once or waits for one. Returns a function that stops waiting. */
  acquire(request: SlotRequest, onSlot: OnSlot): () => void {
    const slot = this.tryAcquire(request);
    if (slot !== undefined) {
      onSlot(slot);
      return () => undefined;
    }
    const refusal = this.availability.findRefusal(request);
    if (refusal !== undefined) {
      onSlot(undefined, refusal);
      return () => undefined;
    }
    return this.wait(request, onSlot);
  }

  private wait(request: SlotRequest, onSlot: OnSlot): () => void {
    this.availability.reportHeld(request);
    this.lastId += 1;
    const waiter: SlotWaiter = { id: this.lastId, request, onSlot, isOver: false };
    const { admitted, service } = request;
    if (admitted !== undefined) {
      const now = this.options.clock.now();
      waiter.marked = this.repeats.mark(admitted, now);
      // The queue VM reports waits for its places.
      if (request.isHedge !== true && !this.places.isQueued(service)) {
        this.shares.recordWait(admitted, now);
      }
    }
    this.waiters.push(waiter);
    this.sort();
    this.schedule();
    this.onQueueChanged(request.service);
    return () => {
      if (this.remove(waiter)) {
        this.onQueueChanged(request.service);
      }
    };
  }

  /** Waiting requests that may use a permit, in the order of service. */
  private listWaiting(service: string): WaitingRequest[] {
    return this.waiters
      .filter(({ request }) => request.service === service && request.isHedge !== true)
      .map(({ id, request }) => ({ id, rank: request.rank, untilMs: request.untilMs }));
  }

  private onQueueChanged(service: string): void {
    this.options.permits.onQueueChanged(service);
    this.places.onQueueChanged(service);
  }

  /** Waiting requests that may use a place, in the order of service. */
  private listWaitingCalls(service: string): WaitingCall[] {
    return this.waiters
      .filter(({ request }) => request.service === service && request.isHedge !== true)
      .map(toWaitingCall);
  }

  /** Sends a waiting request to the target at which it was granted a place. */
  private serveAt(id: number, targetId: string): boolean {
    const waiter = this.waiters.find((other) => other.id === id);
    const tracked = this.options.directory.get(targetId);
    if (waiter === undefined || tracked === undefined || !this.availability.canUsePlace(targetId)) {
      return false;
    }
    this.remove(waiter);
    waiter.onSlot(this.occupySlot(tracked, waiter.request));
    return true;
  }

  private sort(): void {
    this.waiters = sortWaiters(this.waiters, this.shares, this.options.clock.now());
  }

  private refuse(
    id: number,
    refusal: PermitRefusal,
    kind: 'no-permit' | 'no-place' = 'no-permit',
  ): void {
    const waiter = this.waiters.find((other) => other.id === id);
    if (waiter !== undefined && this.remove(waiter)) {
      waiter.onSlot(undefined, { kind, ...refusal });
    }
  }

  /** Returns false if the waiter was already removed. */
  private remove(waiter: SlotWaiter): boolean {
    if (waiter.isOver) {
      return false;
    }
    waiter.isOver = true;
    this.waiters = this.waiters.filter((other) => other !== waiter);
    return true;
  }

  private tryAcquire(request: SlotRequest): Slot | undefined {
    const { directory, clock, failureDomain, locality, gate } = this.options;
    const choice: ServiceTargetCriteria = {
      affinityKey: request.affinityKey,
      failureDomain,
      locality,
      exclude: request.exclude,
      limit: (tracked) => this.availability.slotLimitAt(tracked),
      isDomainSuspected: (domain) => directory.isDomainSuspected(request.service, domain),
      now: clock.now(),
    };
    const all = this.availability.listPermitted(request);
    const candidates = request.onlyLeastLoaded === true ? filterLeastLoaded(all, choice) : all;
    for (const group of gate.groupByPreference(
      request.service,
      candidates,
      request.exclude.size > 0,
    )) {
      const tracked = chooseServiceTarget(group, choice);
      if (tracked !== undefined) {
        return this.occupySlot(tracked, request);
      }
    }
    return undefined;
  }

  /** The only place that occupies slots; the limits of targets are checked before. */
  private occupySlot(
    tracked: TrackedServiceTarget,
    request?: Partial<SlotRequest>,
    replicaTargetId?: string,
  ): Slot {
    const { directory, gate, permits, clock } = this.options;
    const { id, service } = tracked.target;
    if (request?.admitted !== undefined) {
      this.shares.recordServed(request.admitted, clock.now());
    }
    gate.recordSend(tracked.target);
    permits.recordSend(id, service);
    const endRequest = directory.startRequest(id);
    const { objectiveAtMs = Infinity } = request ?? {};
    const releasePlace = this.places.recordSend(id, service, { objectiveAtMs });
    const release: ReleasePlace = (outcome) => {
      endRequest();
      releasePlace(outcome);
    };
    return { tracked, replicaTargetId, release };
  }

  private serveWaiters(): void {
    if (this.waiters.length === 0) {
      return;
    }
    const now = this.options.clock.now();
    for (const waiter of [...this.waiters]) {
      if (waiter.isOver) {
        continue;
      }
      const slot = this.tryAcquire(waiter.request);
      const refusal =
        slot === undefined ? this.availability.findRefusal(waiter.request) : undefined;
      if (slot !== undefined || refusal !== undefined || waiter.request.untilMs <= now) {
        this.remove(waiter);
        this.countRefusal(slot, waiter.request, now);
        waiter.onSlot(slot, refusal);
      }
    }
  }

  private countRefusal(
    slot: Slot | undefined,
    { admitted, service }: SlotRequest,
    now: Millis,
  ): void {
    if (slot === undefined && admitted !== undefined && !this.places.isQueued(service)) {
      this.shares.recordRefusal(admitted, now);
    }
  }

  private schedule(): void {
    if (this.cancelTimer !== undefined || this.waiters.length === 0) {
      return;
    }
    this.cancelTimer = this.options.timers.after(RETRY_INTERVAL_MS, () => {
      this.cancelTimer = undefined;
      this.sort();
      this.serveWaiters();
      this.schedule();
    });
  }
}

/** Targets with the fewest requests of all VMs, without excluded and suspected ones. */
function filterLeastLoaded(
  targets: TrackedServiceTarget[],
  { now, exclude }: ServiceTargetCriteria,
): TrackedServiceTarget[] {
  const up = targets.filter(
    ({ target, health }) => !exclude.has(target.id) && !isSuspected(health, now),
  );
  const requestsAt = (one: TrackedServiceTarget): number => one.inFlight + one.peerRequests;
  const fewest = Math.min(...up.map(requestsAt));
  return up.filter((one) => requestsAt(one) === fewest);
}
