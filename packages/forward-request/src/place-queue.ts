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
import type { CancelTimer, Clock, Millis, Timers } from '@limelead/types';
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

/** Gives a place, or undefined where none came in time. */
type Receive = (place: Place | undefined) => void;

interface Waiter {
  request: PlaceRequest;
  receive: Receive;
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
}

/** Hands out places at targets. */
export default class PlaceQueue {
  private waiters: Waiter[] = [];
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: PlaceQueueOptions) {
    options.directory.subscribe(() => this.serveWaiters());
  }

  /** Takes a place at one target where it takes work and has one free. */
  takeAt(targetId: string, copyTo?: string): Place | undefined {
    const { clock, directory, limit, gate } = this.options;
    const tracked = directory.get(targetId);
    const isFree =
      tracked !== undefined &&
      !tracked.target.leaving &&
      !directory.isSuspected(targetId) &&
      tracked.evidence.fullUntilMs <= clock.now() &&
      tracked.inFlight < limit(tracked) &&
      gate.mayTake(tracked.target);
    return isFree ? this.begin(tracked, copyTo) : undefined;
  }

  /** Requests that wait now. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** Takes a place at once or waits for one; the result gives up waiting. */
  take(request: PlaceRequest, receive: Receive): () => void {
    const place = this.tryTake(request);
    if (place !== undefined) {
      receive(place);
      return () => undefined;
    }
    const waiter: Waiter = { request, receive };
    this.waiters.push(waiter);
    this.waiters.sort(compareWaiters);
    this.schedule();
    return () => {
      this.waiters = this.waiters.filter((other) => other !== waiter);
    };
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
    const all = directory.listUsable(request.service);
    const usable = request.avoidsOthers === true ? keepLeastBusy(all, choice) : all;
    for (const group of gate.arrange(request.service, usable, request.exclude.size > 0)) {
      const tracked = chooseServiceTarget(group, choice);
      if (tracked !== undefined) {
        return this.begin(tracked);
      }
    }
    return undefined;
  }

  private begin(tracked: TrackedServiceTarget, copyTo?: string): Place {
    const { directory, gate } = this.options;
    gate.noteSent(tracked.target);
    return { tracked, copyTo, release: directory.begin(tracked.target.id) };
  }

  private serveWaiters(): void {
    if (this.waiters.length === 0) {
      return;
    }
    const now = this.options.clock.now();
    for (const waiter of [...this.waiters]) {
      const place = this.tryTake(waiter.request);
      if (place !== undefined || waiter.request.untilMs <= now) {
        this.waiters = this.waiters.filter((other) => other !== waiter);
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
