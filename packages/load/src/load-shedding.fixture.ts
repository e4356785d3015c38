/**
 * Simulates a fleet whose targets shed load and ask for cooldowns. VMs use the real slot queue,
 * target directory and backpressure; targets and callers are simulated.
 */
import {
  NO_RATE_LIMITS,
  OPEN_GATE,
  SlotQueue,
  type Slot,
  type TargetGate,
} from '@limelead/forward-request';
import { createLocality } from '@limelead/locality';
import { Backpressure } from '@limelead/track-backpressure';
import { TargetDirectory } from '@limelead/track-service-targets';
import { NO_DIRECTIVES, type Millis, type ServiceTarget } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import SimulatedTime from './simulated-time.fixture.js';

const SERVICE = 'api';
const SLOTS = 6;
const SERVICE_MS: Millis = 100;
const REJECTION_MS: Millis = 3;
/** Offered load as a share of the capacity of all targets. */
const LOAD_SHARE = 0.4;
const DEADLINE_MS: Millis = 1_000;
const MIN_SERVICE_MS: Millis = 50;
const OBJECTIVE_MS: Millis = 200;
const MAX_ATTEMPTS = 16;
const TOTAL_BACKOFF_MS: Millis = 25;
const COOLDOWNS_MS: readonly Millis[] = [800, 1_500, 3_000, 6_000];
/** Delay until a hint reaches the other VMs. */
const HINT_DELAY_MS: Millis = 50;
/** How long a hint is in force. */
const HINT_TTL_MS: Millis = 3_000;
const SHEDDING_FROM_MS: Millis = 2_000;
const SHEDDING_UNTIL_MS: Millis = 8_000;
const END_MS: Millis = 12_000;

/** Size of a fleet and how its targets shed load. */
export interface LoadSheddingPlan {
  vms: number;
  targets: number;
  /** Share of the targets that shed load, 0 to 1. */
  sheddingTargetShare: number;
  /** Share of the calls that a shedding target rejects, 0 to 1. */
  rejectedShare: number;
  /** Whether a VM sends each cooldown to its peers as a hint to prefer other targets. */
  publishesCooldowns: boolean;
  seed: number;
}

/** Counts of the calls that arrived while targets shed load. */
export interface LoadSheddingResult {
  calls: number;
  /** Served within the latency objective. */
  withinObjective: number;
  /** Served within the deadline. */
  served: number;
  /** Served after the deadline. */
  late: number;
  refused: number;
  rejections: number;
  /** Attempts after the first one of each call. */
  retries: number;
  hintsSent: number;
  /** Attempts at targets for which the sending VM has a cooldown. */
  sendsDuringCooldown: number;
}

interface Target {
  running: number;
  isShedding: boolean;
}

interface Vm {
  slots: SlotQueue;
  backpressure: Backpressure;
  /** Time until which a target has low preference because a peer reported a cooldown. */
  hintedUntilMs: Map<string, Millis>;
}

interface Call {
  id: string;
  atMs: Millis;
  attempts: number;
}

/** Runs the simulation of one plan. */
export default function simulateLoadShedding(plan: LoadSheddingPlan): LoadSheddingResult {
  return new SheddingFleet(plan).run();
}

class SheddingFleet {
  private readonly time = new SimulatedTime();
  private readonly targets = new Map<string, Target>();
  private readonly vms: Vm[];
  private readonly random: () => number;
  private readonly result: LoadSheddingResult = {
    ...{ calls: 0, withinObjective: 0, served: 0, late: 0, refused: 0 },
    ...{ rejections: 0, retries: 0, hintsSent: 0, sendsDuringCooldown: 0 },
  };

  constructor(private readonly plan: LoadSheddingPlan) {
    const generator = xoroshiro128plus(plan.seed);
    this.random = () => uniformFloat64(generator);
    const listed = Array.from({ length: plan.targets }, (_, index) => createTarget(index));
    const sheddingCount = Math.round(plan.targets * plan.sheddingTargetShare);
    listed.forEach(({ id }, index) =>
      this.targets.set(id, { running: 0, isShedding: index < sheddingCount }),
    );
    this.vms = Array.from({ length: plan.vms }, () => this.createVm(listed));
  }

  run(): LoadSheddingResult {
    this.scheduleArrival();
    this.time.runUntil(END_MS + DEADLINE_MS);
    return this.result;
  }

  private createVm(listed: ServiceTarget[]): Vm {
    const clock = this.time;
    const directory = new TargetDirectory(clock);
    directory.replaceAll(listed);
    const random = { next: this.random };
    const backpressure = new Backpressure({
      ...{ clock, timers: clock, random, log: { write: () => undefined } },
      metrics: { count: () => undefined, gauge: () => undefined },
      isListed: () => true,
      onLeaving: () => undefined,
      publishBrittle: () => undefined,
      publish: () => undefined,
    });
    const hintedUntilMs = new Map<string, Millis>();
    const isHinted = (id: string): boolean => (hintedUntilMs.get(id) ?? 0) > clock.now();
    const gate: TargetGate = {
      ...OPEN_GATE,
      groupByPreference: (_, targets) =>
        hintedUntilMs.size === 0
          ? [targets]
          : [targets.filter(({ target }) => !isHinted(target.id)), targets],
    };
    const slots = new SlotQueue({
      ...{ clock, timers: clock, directory, failureDomain: 'd', gate, backpressure, random },
      locality: createLocality({ failureDomain: 'd', regionOf: {} }),
      limit: ({ target }) => target.slots,
      permits: NO_RATE_LIMITS,
    });
    return { slots, backpressure, hintedUntilMs };
  }

  /** Schedules the next call of a Poisson process at a random VM. */
  private scheduleArrival(): void {
    const callsPerMs = (this.plan.targets * SLOTS * LOAD_SHARE) / SERVICE_MS;
    this.time.after(-Math.log(1 - this.random()) / callsPerMs, () => {
      const now = this.time.now();
      if (now < END_MS) {
        const vm = this.vms[Math.floor(this.random() * this.vms.length)]!;
        const call = { id: `c${now}`, atMs: now, attempts: 0 };
        this.result.calls += this.isCounted(call) ? 1 : 0;
        this.acquire(vm, call);
        this.scheduleArrival();
      }
    });
  }

  private isCounted({ atMs }: Call): boolean {
    return atMs >= SHEDDING_FROM_MS && atMs < SHEDDING_UNTIL_MS;
  }

  private acquire(vm: Vm, call: Call): void {
    const { id } = call;
    const request = {
      requestId: id,
      service: SERVICE,
      affinityKey: id,
      exclude: new Set<string>(),
    };
    vm.slots.acquire(
      { ...request, rank: 1, untilMs: call.atMs + DEADLINE_MS, minServiceMs: MIN_SERVICE_MS },
      (slot) => {
        if (slot !== undefined) {
          this.send(vm, call, slot);
        } else if (this.isCounted(call)) {
          this.result.refused += 1;
        }
      },
    );
  }

  private send(vm: Vm, call: Call, slot: Slot): void {
    const { id } = slot.tracked.target;
    const target = this.targets.get(id)!;
    const sentAtMs = this.time.now();
    call.attempts += 1;
    this.result.retries += call.attempts > 1 && this.isCounted(call) ? 1 : 0;
    this.result.sendsDuringCooldown += vm.backpressure.cooldownUntilMs(id) === undefined ? 0 : 1;
    if (this.shouldReject(target)) {
      this.time.after(REJECTION_MS, () => this.onRejected(vm, call, slot, sentAtMs));
      return;
    }
    target.running += 1;
    const serviceMs = SERVICE_MS * Math.max(1, target.running / SLOTS);
    this.time.after(serviceMs, () => {
      target.running -= 1;
      slot.release();
      this.onServed(call);
    });
  }

  private shouldReject({ isShedding }: Target): boolean {
    const now = this.time.now();
    const isRejecting = isShedding && now >= SHEDDING_FROM_MS && now < SHEDDING_UNTIL_MS;
    return isRejecting && this.random() < this.plan.rejectedShare;
  }

  private onServed(call: Call): void {
    const durationMs = this.time.now() - call.atMs;
    if (this.isCounted(call)) {
      this.result.served += durationMs <= DEADLINE_MS ? 1 : 0;
      this.result.late += durationMs > DEADLINE_MS ? 1 : 0;
      this.result.withinObjective += durationMs <= OBJECTIVE_MS ? 1 : 0;
    }
  }

  private onRejected(vm: Vm, call: Call, slot: Slot, sentAtMs: Millis): void {
    const { id } = slot.tracked.target;
    const delayMs = COOLDOWNS_MS[Math.floor(this.random() * COOLDOWNS_MS.length)]!;
    this.result.rejections += 1;
    vm.backpressure.onResponse({
      ...{ target: id, requestId: call.id, sentAtMs },
      directives: { ...NO_DIRECTIVES, cooldown: { kind: 'delay', delayMs } },
    });
    slot.release();
    this.publishCooldown(vm, id);
    if (call.attempts < MAX_ATTEMPTS) {
      this.time.after(TOTAL_BACKOFF_MS / MAX_ATTEMPTS, () => this.acquire(vm, call));
    } else if (this.isCounted(call)) {
      this.result.refused += 1;
    }
  }

  private publishCooldown(vm: Vm, target: string): void {
    if (!this.plan.publishesCooldowns) {
      return;
    }
    this.result.hintsSent += this.vms.length - 1;
    this.time.after(HINT_DELAY_MS, () => {
      const untilMs = this.time.now() + HINT_TTL_MS;
      this.vms
        .filter((other) => other !== vm)
        .forEach(({ hintedUntilMs }) => hintedUntilMs.set(target, untilMs));
    });
  }
}

function createTarget(index: number): ServiceTarget {
  return {
    ...{ id: `t${index}`, service: SERVICE, host: '127.0.0.1', port: index + 1 },
    ...{ failureDomain: 'd', slots: SLOTS, leaving: false },
  };
}
