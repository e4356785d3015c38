/**
 * Requests that wait for a target with a free place. The most urgent are served
 * first, then those whose time ends first.
 */
import { chooseServiceTarget, type ServiceChoiceRequest } from '@limelead/choose-service-target';
import type { Locality } from '@limelead/locality';
import {
  isSuspected,
  type TargetDirectory,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import type { CancelTimer, Clock, Millis, PermitRefusal, Timers, Want } from '@limelead/types';
import type { SendPermits } from './send-permits.js';
import type { TargetGate } from './target-gate.js';

/** Suspicion and pauses end with time, without any event; so waiters are tried again. */
const RETRY_INTERVAL_MS = 20;

/** What a place is wanted for. */
export interface PlaceRequest {
  service: string;
  affinityKey: string;
  exclude: ReadonlySet<string>;
  rank: number;
  /** The target may end under the request: only those with the fewest others are looked at. */
  avoidsOthers?: boolean;
  /** A second send beside the first: takes no permit that another request could have. */
  isExtra?: boolean;
  /** Steady time at which waiting ends. */
  untilMs: Millis;
}

/** A place at a target; `release` gives it back. */
export interface Place {
  tracked: TrackedServiceTarget;
  /** Where the scheduler would keep a copy of the run. */
  copyTo?: string;
  release(): void;
}

/** Gives a place, or undefined where none came in time, with why where that is certain at once. */
type Receive = (place: Place | undefined, refusal?: PermitRefusal) => void;

interface Waiter {
  id: number;
  request: PlaceRequest;
  receive: Receive;
  /** It was served, refused or given up. */
  isOver: boolean;
}

/** What the queue needs. */
export interface PlaceQueueOptions {
  clock: Clock;
  timers: Timers;
  directory: TargetDirectory;
  failureDomain: string;
  locality: Locality;
  /** Requests of this VM that one target takes at once. */
  limit: (tracked: TrackedServiceTarget) => number;
  gate: TargetGate;
  permits: SendPermits;
}

/** Hands out places at targets. */
export default class PlaceQueue {
  private waiters: Waiter[] = [];
  private cancelTimer: CancelTimer | undefined;
  private lastId = 0;

  constructor(private readonly options: PlaceQueueOptions) {
    options.directory.subscribe(() => this.serveWaiters());
    options.permits.attach({
      list: (service) => this.listWaiting(service),
      serve: () => this.serveWaiters(),
      refuse: (id, refusal) => this.refuse(id, refusal),
      isAvoided: (targetId) => this.isAvoided(targetId),
    });
  }

  /** Takes a place at one target where it takes work and has one free. */
  takeAt(targetId: string, copyTo?: string): Place | undefined {
    const tracked = this.options.directory.get(targetId);
    const isFree = tracked !== undefined && this.hasRoom(tracked) && this.takesWork(tracked);
    return isFree ? this.begin(tracked, copyTo) : undefined;
  }

  /** Takes a place at the target that keeps a copy of the run, which has its memory there already. */
  takeKeeper(targetId: string): Place | undefined {
    const tracked = this.options.directory.get(targetId);
    return tracked !== undefined && this.takesWork(tracked) ? this.begin(tracked) : undefined;
  }

  /** Requests that wait now. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Takes a place at once or waits for one; the result gives up waiting. */
  take(request: PlaceRequest, receive: Receive): () => void {
    const { permits } = this.options;
    const place = this.tryTake(request);
    if (place !== undefined) {
      receive(place);
      return () => undefined;
    }
    this.lastId += 1;
    const waiter: Waiter = { id: this.lastId, request, receive, isOver: false };
    this.waiters.push(waiter);
    this.waiters.sort(compareWaiters);
    this.schedule();
    permits.noteWaiting(request.service);
    return () => {
      if (this.remove(waiter)) {
        permits.noteWaiting(request.service);
      }
    };
  }

  private hasRoom(tracked: TrackedServiceTarget): boolean {
    const { clock, limit } = this.options;
    return tracked.evidence.fullUntilMs <= clock.now() && tracked.inFlight < limit(tracked);
  }

  private isOpen({ target }: TrackedServiceTarget): boolean {
    const { directory, gate } = this.options;
    return !target.leaving && !directory.isSuspected(target.id) && gate.mayTake(target);
  }

  private isAvoided(targetId: string): boolean {
    const tracked = this.options.directory.get(targetId);
    return tracked === undefined || !this.hasRoom(tracked) || !this.isOpen(tracked);
  }

  private takesWork(tracked: TrackedServiceTarget): boolean {
    return this.isOpen(tracked) && this.options.permits.maySend(tracked.target.id);
  }

  /** Those that may take a permit, in the order in which they are served. */
  private listWaiting(service: string): Want[] {
    return this.waiters
      .filter(({ request }) => request.service === service && request.isExtra !== true)
      .map(({ id, request }) => ({ id, rank: request.rank, untilMs: request.untilMs }));
  }

  private refuse(id: number, refusal: PermitRefusal): void {
    const waiter = this.waiters.find((other) => other.id === id);
    if (waiter !== undefined && this.remove(waiter)) {
      waiter.receive(undefined, refusal);
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

  private tryTake(request: PlaceRequest): Place | undefined {
    const { directory, clock, failureDomain, locality, limit, gate } = this.options;
    const choice: ServiceChoiceRequest = {
      affinityKey: request.affinityKey,
      failureDomain,
      locality,
      exclude: request.exclude,
      limit,
      isDomainDoubtful: (domain) => directory.isDomainDoubtful(request.service, domain),
      now: clock.now(),
    };
    const all = this.listPermitted(request);
    const candidates = request.avoidsOthers === true ? keepLeastBusy(all, choice) : all;
    for (const group of gate.arrange(request.service, candidates, request.exclude.size > 0)) {
      const tracked = chooseServiceTarget(group, choice);
      if (tracked !== undefined) {
        return this.begin(tracked);
      }
    }
    return undefined;
  }

  /**
   * Targets that take work and may be sent some now. One that failed the request is no way
   * out while the others only wait for permits.
   */
  private listPermitted({ service, exclude, isExtra }: PlaceRequest): TrackedServiceTarget[] {
    const { directory, permits } = this.options;
    const usable = directory.listUsable(service);
    if (!permits.isLimiting) {
      return usable;
    }
    const permitted = usable.filter(({ target }) => permits.maySend(target.id, isExtra));
    const hasFailed = ({ target }: TrackedServiceTarget): boolean => exclude.has(target.id);
    return permitted.every(hasFailed) && !usable.every(hasFailed) ? [] : permitted;
  }

  /**
   * Each send to a target passes here, whatever brought it: what a target names is for all requests
   * of all VMs together, and one way round it would spend what others were granted.
   */
  private begin(tracked: TrackedServiceTarget, copyTo?: string): Place {
    const { directory, gate, permits } = this.options;
    gate.noteSent(tracked.target);
    permits.noteSent(tracked.target.id, tracked.target.service);
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
      const place = this.tryTake(waiter.request);
      if (place !== undefined || waiter.request.untilMs <= now) {
        this.remove(waiter);
        waiter.receive(place);
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
  { now, exclude }: ServiceChoiceRequest,
): TrackedServiceTarget[] {
  const up = targets.filter(
    ({ target, evidence }) => !exclude.has(target.id) && !isSuspected(evidence, now),
  );
  const requestsAt = (one: TrackedServiceTarget): number => one.inFlight + one.peerRequests;
  const fewest = Math.min(...up.map(requestsAt));
  return up.filter((one) => requestsAt(one) === fewest);
}

function compareWaiters(a: Waiter, b: Waiter): number {
  return a.request.rank - b.request.rank || a.request.untilMs - b.request.untilMs;
}
