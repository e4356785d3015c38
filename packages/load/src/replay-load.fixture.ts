/**
 * Replays a recorded load in simulated time. VMs use the real target directory and slot queue.
 * Targets are simulated: prefill runs one prompt at a time, decoding at a fixed rate.
 */
import { NO_BACKPRESSURE, NO_RATE_LIMITS, OPEN_GATE, SlotQueue } from '@limelead/forward-request';
import { createLocality } from '@limelead/locality';
import { TargetDirectory, type ReportedTargetLoad } from '@limelead/track-service-targets';
import { hashText, type Millis, type ServiceTarget } from '@limelead/types';
import type { Arrival } from './plan-arrivals.js';
import SimulatedTime from './simulated-time.fixture.js';

/** Delay until a VM's load update reaches its peers. */
const LOAD_UPDATE_DELAY_MS = 100;
/** Time after the last arrival in which all running requests end. */
const DRAIN_MS = 120_000;

/** The simulated fleet. */
export interface ReplayFleet {
  vms: number;
  failureDomains: string[];
  targets: number;
  slots: number;
  /** Prefill rate of a target. */
  promptCharactersPerMs: number;
  /** Decoding time of one token. */
  msPerToken: number;
  /** Objective for the time to the first token. */
  firstTokenObjectiveMs: Millis;
  /** Longest time to the first token that callers accept. */
  deadlineMs: Millis;
}

/** A period in which the targets of one failure domain are not listed. */
export interface ReplayOutage {
  fromMs: Millis;
  toMs: Millis;
  failureDomain: string;
}

/** Number of requests by outcome, and the highest wait and load. */
export interface ReplayResult {
  arrived: number;
  /** First token within the objective. */
  withinObjective: number;
  /** First token after the objective but within the deadline. */
  late: number;
  /** No slot or no first token within the deadline. */
  lost: number;
  /** Longest time that a request waited for a slot. */
  maxSlotWaitMs: Millis;
  /** Highest number of prompts in prefill at one target. */
  maxPromptsInPrefill: number;
}

interface ReplayVm {
  id: string;
  directory: TargetDirectory;
  slots: SlotQueue;
}

/** Replays the arrivals on a simulated fleet. */
export default function replayLoad(
  arrivals: readonly Arrival[],
  fleet: ReplayFleet,
  outages: readonly ReplayOutage[] = [],
): ReplayResult {
  return new LoadReplay(fleet, outages).run(arrivals);
}

class LoadReplay {
  private readonly time = new SimulatedTime();
  private readonly targets: ServiceTarget[];
  private readonly vms: ReplayVm[];
  /** Prompts in prefill at each target, and when the last of them is done. */
  private readonly prefillQueues = new Map<string, { freeAtMs: Millis; length: number }>();
  private readonly result: ReplayResult = {
    arrived: 0,
    withinObjective: 0,
    late: 0,
    lost: 0,
    maxSlotWaitMs: 0,
    maxPromptsInPrefill: 0,
  };

  constructor(
    private readonly fleet: ReplayFleet,
    private readonly outages: readonly ReplayOutage[],
  ) {
    this.targets = Array.from({ length: fleet.targets }, (_, index) => this.createTarget(index));
    this.targets.forEach(({ id }) => this.prefillQueues.set(id, { freeAtMs: 0, length: 0 }));
    this.vms = Array.from({ length: fleet.vms }, (_, index) => this.createVm(index));
  }

  run(arrivals: readonly Arrival[]): ReplayResult {
    arrivals.forEach((arrival) => this.time.after(arrival.atMs, () => this.onArrival(arrival)));
    this.outages.forEach((outage) => this.scheduleOutage(outage));
    this.time.runUntil((arrivals.at(-1)?.atMs ?? 0) + DRAIN_MS);
    return this.result;
  }

  private createTarget(index: number): ServiceTarget {
    return {
      id: `t${index}`,
      service: 'replay',
      host: '127.0.0.1',
      port: index + 1,
      failureDomain: this.domainOf(index),
      slots: this.fleet.slots,
      leaving: false,
    };
  }

  private domainOf(index: number): string {
    const { failureDomains } = this.fleet;
    return failureDomains[index % failureDomains.length] ?? '';
  }

  private createVm(index: number): ReplayVm {
    const directory = new TargetDirectory(this.time);
    directory.replaceAll(this.targets);
    const failureDomain = this.domainOf(index);
    const slots = new SlotQueue({
      clock: this.time,
      timers: this.time,
      directory,
      failureDomain,
      locality: createLocality({ failureDomain, regionOf: {} }),
      limit: ({ target }) => target.slots,
      gate: OPEN_GATE,
      permits: NO_RATE_LIMITS,
      backpressure: NO_BACKPRESSURE,
      random: { next: () => 0 },
    });
    return { id: `vm${index}`, directory, slots };
  }

  private scheduleOutage({ fromMs, toMs, failureDomain }: ReplayOutage): void {
    const remaining = this.targets.filter((target) => target.failureDomain !== failureDomain);
    const setTargets = (targets: ServiceTarget[]): void =>
      this.vms.forEach(({ directory }) => directory.replaceAll(targets));
    this.time.after(fromMs, () => setTargets(remaining));
    this.time.after(toMs, () => setTargets(this.targets));
  }

  private onArrival({ requestId, kind, prompt, maxTokens, failureDomain, atMs }: Arrival): void {
    const inDomain = this.vms.filter((_, index) => this.domainOf(index) === failureDomain);
    const entryVms = inDomain.length > 0 ? inDomain : this.vms;
    const vm = entryVms[hashText(requestId) % entryVms.length];
    if (vm === undefined) {
      throw new Error('the fleet has no VM');
    }
    this.result.arrived += 1;
    const untilMs = atMs + this.fleet.deadlineMs;
    vm.slots.acquire(
      {
        requestId,
        service: 'replay',
        affinityKey: requestId,
        exclude: new Set(),
        rank: Number(kind.priority ?? 1),
        untilMs,
      },
      (slot) => {
        this.result.maxSlotWaitMs = Math.max(this.result.maxSlotWaitMs, this.time.now() - atMs);
        if (slot === undefined) {
          this.result.lost += 1;
          return;
        }
        const target = slot.tracked.target.id;
        const onPrefilled = vm.directory.startReadingPrompt(target);
        this.publishLoad(vm);
        const firstTokenAtMs = this.prefill(target, prompt.length, onPrefilled, vm);
        this.recordFirstToken(firstTokenAtMs - atMs);
        const endAtMs = firstTokenAtMs + maxTokens * this.fleet.msPerToken;
        this.time.after(endAtMs - this.time.now(), () => {
          slot.release();
          this.publishLoad(vm);
        });
      },
    );
  }

  /** Queues a prompt for prefill at a target; returns the time at which its prefill ends. */
  private prefill(
    target: string,
    characters: number,
    onPrefilled: () => void,
    vm: ReplayVm,
  ): Millis {
    const queue = this.prefillQueues.get(target);
    if (queue === undefined) {
      throw new Error(`target ${target} does not exist`);
    }
    queue.length += 1;
    this.result.maxPromptsInPrefill = Math.max(this.result.maxPromptsInPrefill, queue.length);
    queue.freeAtMs =
      Math.max(queue.freeAtMs, this.time.now()) + characters / this.fleet.promptCharactersPerMs;
    this.time.after(queue.freeAtMs - this.time.now(), () => {
      queue.length -= 1;
      onPrefilled();
      this.publishLoad(vm);
    });
    return queue.freeAtMs;
  }

  private recordFirstToken(firstTokenMs: Millis): void {
    if (firstTokenMs <= this.fleet.firstTokenObjectiveMs) {
      this.result.withinObjective += 1;
    } else if (firstTokenMs <= this.fleet.deadlineMs) {
      this.result.late += 1;
    } else {
      this.result.lost += 1;
    }
  }

  private publishLoad({ id, directory }: ReplayVm): void {
    this.time.after(LOAD_UPDATE_DELAY_MS, () => {
      const targets = new Map<string, ReportedTargetLoad>();
      for (const { target, inFlight, reading, replicas } of directory.all()) {
        if (inFlight > 0) {
          targets.set(target.id, { requests: inFlight, reading, copies: replicas, slowness: 1 });
        }
      }
      this.vms
        .filter((vm) => vm.id !== id)
        .forEach((vm) => vm.directory.onPeerLoad(id, { targets, advice: 0 }));
    });
  }
}
