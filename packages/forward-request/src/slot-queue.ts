/**
 * Requests that wait for a target with a free slot. The most urgent are served
 * first, then those whose time ends first.
 */
import { chooseServiceTarget, type ServiceTargetCriteria } from '@limelead/choose-service-target';
import type { Locality } from '@limelead/locality';
import { isSuspected, type TrackedServiceTarget } from '@limelead/track-service-targets';
import type { CancelTimer, PermitRefusal, Timers, WaitingRequest } from '@limelead/types';
import type { SlotRefusal } from './slot-refusal.js';
import type { Slot, SlotRequest } from './slot-request.js';
import TargetAvailability, { type TargetAvailabilityOptions } from './target-availability.js';

/** Suspicion and pauses end with time, without any event; so waiters are tried again. */
const RETRY_INTERVAL_MS = 20;

/** Gives a slot, or undefined where none came in time, with why where that is certain at once. */
type Receive = (slot: Slot | undefined, refusal?: SlotRefusal) => void;

interface Waiter {
  id: number;
  request: SlotRequest;
  receive: Receive;
  /** It was served, refused or given up. */
  isOver: boolean;
}

/** What the queue needs. */
export interface SlotQueueOptions extends TargetAvailabilityOptions {
  timers: Timers;
  failureDomain: string;
  locality: Locality;
}

/** Hands out slots at targets. */
export default class SlotQueue {
  private waiters: Waiter[] = [];
  private cancelTimer: CancelTimer | undefined;
  private lastId = 0;
  private readonly availability: TargetAvailability;

  constructor(private readonly options: SlotQueueOptions) {
    this.availability = new TargetAvailability(options);
    options.directory.subscribe(() => this.serveWaiters());
    options.permits.attach({
      list: (service) => this.listWaiting(service),
      serve: () => this.serveWaiters(),
      refuse: (id, refusal) => this.refuse(id, refusal),
      isAvoided: (targetId) => this.availability.isAvoided(targetId),
    });
  }

  /** Takes a slot at one target where it takes work and has one free. */
  acquireAt(targetId: string, copyTo?: string): Slot | undefined {
    const tracked = this.options.directory.get(targetId);
    const isFree =
      tracked !== undefined &&
      this.availability.hasRoom(tracked) &&
      this.availability.isAvailable(tracked);
    return isFree ? this.begin(tracked, copyTo) : undefined;
  }

  /** Takes a slot at the target that keeps a copy of the run, which has its memory there already. */
  acquireAtReplica(targetId: string): Slot | undefined {
    const tracked = this.options.directory.get(targetId);
    return tracked !== undefined && this.availability.isAvailable(tracked)
      ? this.begin(tracked)
      : undefined;
  }

  /** Requests that wait now. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Takes a slot at once or waits for one; the result gives up waiting. */
  acquire(request: SlotRequest, receive: Receive): () => void {
    const slot = this.tryAcquire(request);
    if (slot !== undefined) {
      receive(slot);
      return () => undefined;
    }
    const refusal = this.availability.findRefusal(request);
    if (refusal !== undefined) {
      receive(undefined, refusal);
      return () => undefined;
    }
    return this.wait(request, receive);
  }

  private wait(request: SlotRequest, receive: Receive): () => void {
    const { permits } = this.options;
    this.availability.reportHeld(request);
    this.lastId += 1;
    const waiter: Waiter = { id: this.lastId, request, receive, isOver: false };
    this.waiters.push(waiter);
    this.waiters.sort(compareWaiters);
    this.schedule();
    permits.onQueueChanged(request.service);
    return () => {
      if (this.remove(waiter)) {
        permits.onQueueChanged(request.service);
      }
    };
  }

  /** Those that may take a permit, in the order in which they are served. */
  private listWaiting(service: string): WaitingRequest[] {
    return this.waiters
      .filter(({ request }) => request.service === service && request.isExtra !== true)
      .map(({ id, request }) => ({ id, rank: request.rank, untilMs: request.untilMs }));
  }

  private refuse(id: number, refusal: PermitRefusal): void {
    const waiter = this.waiters.find((other) => other.id === id);
    if (waiter !== undefined && this.remove(waiter)) {
      waiter.receive(undefined, { kind: 'no-permit', ...refusal });
    }
  }

  /** False where the waiter was gone already. */
  private remove(waiter: Waiter): boolean {
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
      limit: (tracked) => this.availability.slotsAt(tracked),
      isDomainSuspected: (domain) => directory.isDomainSuspected(request.service, domain),
      now: clock.now(),
    };
    const all = this.availability.listPermitted(request);
    const candidates = request.avoidsOthers === true ? keepLeastBusy(all, choice) : all;
    for (const group of gate.arrange(request.service, candidates, request.exclude.size > 0)) {
      const tracked = chooseServiceTarget(group, choice);
      if (tracked !== undefined) {
        return this.begin(tracked);
      }
    }
    return undefined;
  }

  /** Single entry point for sends: what targets ask for is enforced before it. */
  private begin(tracked: TrackedServiceTarget, copyTo?: string): Slot {
    const { directory, gate, permits } = this.options;
    gate.noteSent(tracked.target);
    permits.recordSend(tracked.target.id, tracked.target.service);
    return { tracked, copyTo, release: directory.begin(tracked.target.id) };
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
        waiter.receive(slot, refusal);
      }
    }
  }

  private schedule(): void {
    if (this.cancelTimer !== undefined || this.waiters.length === 0) {
      return;
    }
    this.cancelTimer = this.options.timers.after(RETRY_INTERVAL_MS, () => {
      this.cancelTimer = undefined;
      this.serveWaiters();
      this.schedule();
    });
  }
}

/** Those of the targets that are up which have the fewest requests of all VMs. */
function keepLeastBusy(
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

function compareWaiters(a: Waiter, b: Waiter): number {
  return a.request.rank - b.request.rank || a.request.untilMs - b.request.untilMs;
}
