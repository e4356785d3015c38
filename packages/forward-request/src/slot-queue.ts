/**
 * Queue of the requests that wait for a slot, ordered by rank, fair share and deadline.
 * All slots at targets are acquired here.
 */
import { chooseServiceTarget, type ServiceTargetCriteria } from '@limelead/choose-service-target';
import type { Locality } from '@limelead/locality';
import type { TrackedServiceTarget } from '@limelead/track-service-targets';
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
import filterLeastLoaded from './filter-least-loaded.js';
import RepeatMarker from './repeat-marker.js';
import { NO_SHARES, type RequestShares } from './request-shares.js';
import type { Slot, SlotNeed, SlotRequest } from './slot-request.js';
import { sortWaiters, toWaitingCall, type OnSlot, type SlotWaiter } from './slot-waiter.js';
import TargetPlacement, { type TargetPlacementOptions } from './target-placement.js';
import TargetAvailability, { type TargetAvailabilityOptions } from './target-availability.js';

/** Interval of retries for waiting requests: suspicion and pauses expire without an event. */
const RETRY_INTERVAL_MS = 20;

export interface SlotQueueOptions
  extends Omit<TargetAvailabilityOptions, 'places'>, TargetPlacementOptions {
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
  readonly placement: TargetPlacement;
  private readonly shares: RequestShares;
  private readonly repeats = new RepeatMarker();

  constructor(private readonly options: SlotQueueOptions) {
    this.places = options.places ?? NO_CALL_QUEUES;
    this.shares = options.shares ?? NO_SHARES;
    this.availability = new TargetAvailability({ ...options, places: this.places });
    this.placement = new TargetPlacement(options);
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

  /** Acquires a slot at the target if it is available and has a free slot and room. */
  acquireAt(targetId: string, replicaTargetId?: string, need: SlotNeed = {}): Slot | undefined {
    const tracked = this.options.directory.get(targetId);
    const isFree =
      tracked !== undefined &&
      this.availability.hasFreeSlot(tracked) &&
      this.availability.isAvailable(tracked, need) &&
      this.placement.isAllowedAt(tracked, need);
    return isFree ? this.occupySlot(tracked, need, replicaTargetId) : undefined;
  }

  /** Acquires a slot at the target of a replica, which already holds the run's memory. */
  acquireAtReplica(targetId: string, need: SlotNeed = {}): Slot | undefined {
    const tracked = this.options.directory.get(targetId);
    return tracked !== undefined && this.availability.isAvailable(tracked, need)
      ? this.occupySlot(tracked, need)
      : undefined;
  }

  /** Whether the service has only targets at which the stream cannot go on. */
  hasOnlyOtherVersions(request: Pick<SlotRequest, 'service' | 'softwareVersion'>): boolean {
    return this.availability.hasOnlyOtherVersions(request);
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
    this.placement.reportWaiting(request, this.availability.listPermitted(request));
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
    if (
      waiter === undefined ||
      tracked === undefined ||
      !this.availability.canUsePlace(targetId, waiter.request)
    ) {
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
      ...this.placement.createCriteria(request.memory),
      now: clock.now(),
    };
    const permitted = this.availability.listPermitted(request);
    const all = this.placement.filterByBodies(permitted, request);
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
    need: SlotNeed = {},
    replicaTargetId?: string,
  ): Slot {
    const { directory, gate, permits, clock } = this.options;
    const { admitted, memory, objectiveAtMs = Infinity } = need;
    const { id, service } = tracked.target;
    if (admitted !== undefined) {
      this.shares.recordServed(admitted, clock.now());
    }
    gate.recordSend(tracked.target);
    permits.recordSend(id, service);
    const releaseBody = this.placement.recordPlaced(tracked, need);
    const endRequest = directory.startRequest(id, memory);
    const releasePlace = this.places.recordSend(id, service, { objectiveAtMs });
    const release: ReleasePlace = (outcome) => {
      releaseBody();
      endRequest();
      releasePlace(outcome);
    };
    return { tracked, replicaTargetId, memory, release };
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
