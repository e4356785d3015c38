/**
 * A fleet whose targets shed calls and ask for cooldowns, on a clock of its own. VMs use the product's
 * queue of slots, directory and backpressure; targets and callers are a few lines.
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
import ReplayTime from './replay-time.fixture.js';

const SERVICE = 'api';
const SLOTS = 6;
const CALL_MS: Millis = 100;
const ANSWER_MS: Millis = 3;
/** Part of what all targets can serve that the callers ask for. */
const LOAD_SHARE = 0.4;
const DEADLINE_MS: Millis = 1_000;
const LEAST_CALL_MS: Millis = 50;
const OBJECTIVE_MS: Millis = 200;
const MAX_SENDS = 16;
const FULL_PAUSE_MS: Millis = 25;
const COOLDOWNS_MS: readonly Millis[] = [800, 1_500, 3_000, 6_000];
/** Time of a hint on its way, and for which it counts. */
const HINT_TRAVEL_MS: Millis = 50;
const HINT_MS: Millis = 3_000;
const SHED_FROM_MS: Millis = 2_000;
const SHED_UNTIL_MS: Millis = 8_000;
const END_MS: Millis = 12_000;

/** How a fleet is laid out, and what its targets do. */
export interface ShedPlan {
  vms: number;
  targets: number;
  /** Part of the targets that shed, and part of what comes that they shed. */
  sheddingTargets: number;
  shedShare: number;
  /** Whether a VM tells the others of each cooldown, as a hint that a target comes last. */
  tellsOthers: boolean;
  seed: number;
}

/** What became of the calls that came while targets shed. */
export interface ShedResult {
  calls: number;
  inTime: number;
  served: number;
  /** Answered behind the deadline. */
  late: number;
  refused: number;
  sheds: number;
  /** Sends beyond the first of each call. */
  repeats: number;
  hints: number;
  /** Sends to targets in a cooldown of the VM that sent. */
  unwanted: number;
}

interface Target {
  running: number;
  sheds: boolean;
}

interface Vm {
  slots: SlotQueue;
  backpressure: Backpressure;
  /** Until when a target comes last, since another VM was asked for a cooldown. */
  hintedUntilMs: Map<string, Millis>;
}

interface Call {
  id: string;
  atMs: Millis;
  sends: number;
}

/** Plays one plan. */
export default function playShedFleet(plan: ShedPlan): ShedResult {
  return new ShedFleet(plan).play();
}

class ShedFleet {
  private readonly time = new ReplayTime();
  private readonly targets = new Map<string, Target>();
  private readonly vms: Vm[];
  private readonly random: () => number;
  private readonly result: ShedResult = {
    ...{ calls: 0, inTime: 0, served: 0, late: 0, refused: 0 },
    ...{ sheds: 0, repeats: 0, hints: 0, unwanted: 0 },
  };

  constructor(private readonly plan: ShedPlan) {
    const generator = xoroshiro128plus(plan.seed);
    this.random = () => uniformFloat64(generator);
    const listed = Array.from({ length: plan.targets }, (_, index) => toTarget(index));
    const shedding = Math.round(plan.targets * plan.sheddingTargets);
    listed.forEach(({ id }, index) =>
      this.targets.set(id, { running: 0, sheds: index < shedding }),
    );
    this.vms = Array.from({ length: plan.vms }, () => this.createVm(listed));
  }

  play(): ShedResult {
    this.arrive();
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

  /** Calls come at random moments, to any VM. */
  private arrive(): void {
    const perMs = (this.plan.targets * SLOTS * LOAD_SHARE) / CALL_MS;
    this.time.after(-Math.log(1 - this.random()) / perMs, () => {
      const now = this.time.now();
      if (now < END_MS) {
        const vm = this.vms[Math.floor(this.random() * this.vms.length)]!;
        const call = { id: `c${now}`, atMs: now, sends: 0 };
        this.result.calls += this.isCounted(call) ? 1 : 0;
        this.acquire(vm, call);
        this.arrive();
      }
    });
  }

  private isCounted({ atMs }: Call): boolean {
    return atMs >= SHED_FROM_MS && atMs < SHED_UNTIL_MS;
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
      { ...request, rank: 1, untilMs: call.atMs + DEADLINE_MS, minServiceMs: LEAST_CALL_MS },
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
    call.sends += 1;
    this.result.repeats += call.sends > 1 && this.isCounted(call) ? 1 : 0;
    this.result.unwanted += vm.backpressure.cooldownUntilMs(id) === undefined ? 0 : 1;
    if (this.isShed(target)) {
      this.time.after(ANSWER_MS, () => this.onShed(vm, call, slot, sentAtMs));
      return;
    }
    target.running += 1;
    const afterMs = CALL_MS * Math.max(1, target.running / SLOTS);
    this.time.after(afterMs, () => {
      target.running -= 1;
      slot.release();
      this.onServed(call);
    });
  }

  private isShed({ sheds }: Target): boolean {
    const now = this.time.now();
    const isShedding = sheds && now >= SHED_FROM_MS && now < SHED_UNTIL_MS;
    return isShedding && this.random() < this.plan.shedShare;
  }

  private onServed(call: Call): void {
    const tookMs = this.time.now() - call.atMs;
    if (this.isCounted(call)) {
      this.result.served += tookMs <= DEADLINE_MS ? 1 : 0;
      this.result.late += tookMs > DEADLINE_MS ? 1 : 0;
      this.result.inTime += tookMs <= OBJECTIVE_MS ? 1 : 0;
    }
  }

  private onShed(vm: Vm, call: Call, slot: Slot, sentAtMs: Millis): void {
    const { id } = slot.tracked.target;
    const delayMs = COOLDOWNS_MS[Math.floor(this.random() * COOLDOWNS_MS.length)]!;
    this.result.sheds += 1;
    vm.backpressure.onResponse({
      ...{ target: id, requestId: call.id, sentAtMs },
      directives: { ...NO_DIRECTIVES, cooldown: { kind: 'delay', delayMs } },
    });
    slot.release();
    this.tellOthers(vm, id);
    if (call.sends < MAX_SENDS) {
      this.time.after(FULL_PAUSE_MS / MAX_SENDS, () => this.acquire(vm, call));
    } else if (this.isCounted(call)) {
      this.result.refused += 1;
    }
  }

  private tellOthers(vm: Vm, target: string): void {
    if (!this.plan.tellsOthers) {
      return;
    }
    this.result.hints += this.vms.length - 1;
    this.time.after(HINT_TRAVEL_MS, () => {
      const untilMs = this.time.now() + HINT_MS;
      this.vms
        .filter((other) => other !== vm)
        .forEach(({ hintedUntilMs }) => hintedUntilMs.set(target, untilMs));
    });
  }
}

function toTarget(index: number): ServiceTarget {
  return {
    ...{ id: `t${index}`, service: SERVICE, host: '127.0.0.1', port: index + 1 },
    ...{ failureDomain: 'd', slots: SLOTS, leaving: false },
  };
}
