/**
 * Decides which waiting call of any VM gets which place at a target, and which calls are refused
 * because they can't be answered before their deadline. Addresses a service whose demand reaches
 * what its few slots serve.
 */
import { RepeatDetector } from '@limelead/admit-request';
import type { Millis, Random } from '@limelead/types';
import {
  canBeInTime,
  type CompareCalls,
  type OrderContext,
  type QueuedCall,
} from './order-calls.js';
import type { ShareOrder } from './share-order.js';

/** Shortest range of the jitter of a refusal, so that returning callers come spread out. */
const MIN_RETRY_JITTER_MS: Millis = 1_000;

/** A target as the dispatcher sees it. */
export interface DispatchTarget {
  id: string;
  /** Calls that it may get now. */
  free: number;
  /** Calls that it may have at once. */
  limit: number;
  /** Time that an answer takes at most as a rule. */
  expectedMs: Millis;
  /** Mean time of an answer. */
  meanMs: Millis;
}

/** A call that gets a place. */
export interface PlaceGrant {
  vm: string;
  want: number;
  target: string;
}

/** A call that is refused. */
export interface CallRefusal {
  vm: string;
  want: number;
  retryAfterMs: Millis;
}

/** Dependencies of `CallDispatcher`. */
export interface CallDispatcherOptions {
  random: Random;
  shares: ShareOrder;
  compare: CompareCalls;
}

/** The waiting calls of one service. */
export default class CallDispatcher {
  private waiting: QueuedCall[] = [];
  /** Calls of which it is not yet known whether they wait. */
  private arrived = new Set<QueuedCall>();
  /** Detects repeats that arrive at different VMs. */
  private readonly repeats = new RepeatDetector();
  /** Targets that a VM can't use. */
  private readonly avoidedByVm = new Map<string, ReadonlySet<string>>();

  constructor(private readonly options: CallDispatcherOptions) {}

  /** Number of waiting calls. */
  get length(): number {
    return this.waiting.length;
  }

  /**
   * Adds calls of a VM, or replaces them.
   * @param isWhole true if the VM's calls that are not listed wait no more
   */
  setWaiting(vm: string, calls: readonly QueuedCall[], isWhole: boolean, now: Millis): void {
    const ids = new Set(calls.map(({ id }) => id));
    const known = new Map<number, QueuedCall>();
    this.waiting = this.waiting.filter((call) => {
      if (call.vm !== vm) {
        return true;
      }
      known.set(call.id, call);
      return !isWhole && !ids.has(call.id);
    });
    for (const call of calls) {
      const last = known.get(call.id);
      const isRepeat = last?.isRepeat ?? this.isRepeat(call, now);
      const added = { ...call, isRepeat };
      if (last === undefined) {
        if (!isRepeat) {
          this.options.shares.recordArrival(call.organisation, now);
        }
        this.arrived.add(added);
      }
      this.waiting.push(added);
    }
  }

  private isRepeat({ isRepeat, mark, vm }: QueuedCall, now: Millis): boolean {
    const isKnown = mark !== undefined && this.repeats.isRepeat(mark, vm, now);
    return isRepeat || isKnown;
  }

  /** Sets the targets that a VM can't use now. */
  setAvoided(vm: string, targets: readonly string[]): void {
    if (targets.length === 0) {
      this.avoidedByVm.delete(vm);
    } else {
      this.avoidedByVm.set(vm, new Set(targets));
    }
  }

  /** Forgets the calls of a VM. */
  forget(vm: string): void {
    this.waiting = this.waiting.filter((call) => call.vm !== vm);
    this.avoidedByVm.delete(vm);
  }

  /** Forgets all calls. */
  clear(): void {
    this.waiting = [];
    this.arrived.clear();
    this.avoidedByVm.clear();
  }

  /** Gives free places to waiting calls. Calls past their deadline are dropped, since their VM ends them. */
  grant(targets: readonly DispatchTarget[], now: Millis): PlaceGrant[] {
    const grants: PlaceGrant[] = [];
    const open = targets.filter(({ limit }) => limit > 0);
    const free = new Map(open.map(({ id, free: places }) => [id, places]));
    // The fastest target first, and among equal ones that with most free places.
    const listFree = (): DispatchTarget[] =>
      open
        .filter(({ id }) => (free.get(id) ?? 0) > 0)
        .sort(
          (a, b) => a.expectedMs - b.expectedMs || (free.get(b.id) ?? 0) - (free.get(a.id) ?? 0),
        );
    let isDone = this.waiting.length === 0;
    while (!isDone) {
      isDone = true;
      for (const target of listFree()) {
        const call = this.chooseCall(target, open, now);
        if (call !== undefined) {
          this.waiting.splice(this.waiting.indexOf(call), 1);
          grants.push({ vm: call.vm, want: call.id, target: target.id });
          if (!call.isRepeat) {
            this.options.shares.recordServed?.(now);
          }
          free.set(target.id, (free.get(target.id) ?? 0) - 1);
          isDone = false;
          break;
        }
      }
    }
    this.reportWaits(now);
    return grants;
  }

  private reportWaits(now: Millis): void {
    if (this.arrived.size > 0) {
      this.waiting
        .filter((call) => this.arrived.has(call))
        .forEach(({ organisation }) => this.options.shares.recordWait?.(organisation, now));
      this.arrived.clear();
    }
  }

  /**
   * Refuses calls that can't be answered before their deadline even if all targets serve the calls
   * ahead of them at their present pace without a break.
   */
  refuseHopeless(targets: readonly DispatchTarget[], now: Millis): CallRefusal[] {
    const open = targets.filter(({ limit }) => limit > 0);
    const meanMs = Math.min(...open.map((target) => target.meanMs));
    const perMs = open.reduce((sum, target) => sum + target.limit / Math.max(1, target.meanMs), 0);
    if (open.length === 0 || this.waiting.length === 0) {
      return [];
    }
    const expectedMs = Math.min(...open.map((target) => target.expectedMs));
    const context = this.createContext(expectedMs, now);
    const kept: QueuedCall[] = [];
    const refused: QueuedCall[] = [];
    for (const call of [...this.waiting].sort((a, b) => this.options.compare(a, b, context))) {
      const startsAtMs = now + kept.length / perMs;
      const isHopeless = startsAtMs + meanMs > call.untilMs;
      (isHopeless ? refused : kept).push(call);
    }
    this.waiting = kept;
    refused.forEach(({ organisation }) => this.options.shares.recordRefusal?.(organisation, now));
    const drainMs = kept.length / perMs;
    return refused.map(({ vm, id }) => ({
      vm,
      want: id,
      retryAfterMs: drainMs + this.options.random.next() * Math.max(MIN_RETRY_JITTER_MS, drainMs),
    }));
  }

  /** The first call that may use a place at the target. */
  private chooseCall(
    target: DispatchTarget,
    open: readonly DispatchTarget[],
    now: Millis,
  ): QueuedCall | undefined {
    const context = this.createContext(target.expectedMs, now);
    let best: QueuedCall | undefined;
    for (const call of this.waiting) {
      const isBetter = best === undefined || this.options.compare(call, best, context) < 0;
      if (isBetter && this.canUse(call, target, open, now)) {
        best = call;
      }
    }
    return best;
  }

  /**
   * A call that can be in time only at a faster target waits for a place there, if its VM may use
   * that target.
   */
  private canUse(
    call: QueuedCall,
    target: DispatchTarget,
    open: readonly DispatchTarget[],
    now: Millis,
  ): boolean {
    const avoided = this.avoidedByVm.get(call.vm);
    if (avoided?.has(target.id) === true || call.untilMs - now < target.meanMs) {
      return false;
    }
    const usable = listUsable(call, open, avoided);
    return (
      usable.includes(target) &&
      (canBeInTime(call, { now, expectedMs: target.expectedMs }) ||
        !usable.some(({ expectedMs }) => canBeInTime(call, { now, expectedMs })))
    );
  }

  private createContext(expectedMs: Millis, now: Millis): OrderContext {
    return {
      now,
      expectedMs,
      excessOf: (organisation) => this.options.shares.excessOf(organisation, now),
    };
  }
}

/** Targets that a call may use; those that failed it only if its VM can use no others. */
function listUsable(
  call: QueuedCall,
  open: readonly DispatchTarget[],
  avoided: ReadonlySet<string> | undefined,
): readonly DispatchTarget[] {
  const allowed = avoided === undefined ? open : open.filter(({ id }) => !avoided.has(id));
  if (call.avoid.length === 0) {
    return allowed;
  }
  const untried = allowed.filter(({ id }) => !call.avoid.includes(id));
  return untried.length > 0 ? untried : allowed;
}
