/**
 * Replays a recorded load through the decisions that place requests, on a clock of its
 * own. VMs and their knowledge of targets are the product's; targets are a few lines:
 * they read one prompt after another, and then write at their pace.
 */
import { NO_BACKPRESSURE, NO_RATE_LIMITS, OPEN_GATE, SlotQueue } from '@limelead/forward-request';
import { createLocality } from '@limelead/locality';
import { TargetDirectory, type ReportedTargetLoad } from '@limelead/track-service-targets';
import { hashText, type Millis, type ServiceTarget } from '@limelead/types';
import type { Arrival } from './plan-arrivals.js';
import ReplayTime from './replay-time.fixture.js';

/** Time until a VM's load is known to the others, in milliseconds. */
const TOLD_AFTER_MS = 100;
/** Time behind the last arrival in which all that was taken ends, in milliseconds. */
const RUN_OUT_MS = 120_000;

/** What the load is played to. */
export interface ReplayFleet {
  vms: number;
  failureDomains: string[];
  targets: number;
  slots: number;
  /** Characters of a prompt that a target reads in a millisecond. */
  readPerMs: number;
  /** Milliseconds for one token that a target writes. */
  tokenMs: number;
  /** Time within which callers want the first token, and time for which they wait. */
  objectiveMs: Millis;
  deadlineMs: Millis;
}

/** Targets of one domain, by their number, that are away for some time. */
export interface ReplayOutage {
  fromMs: Millis;
  toMs: Millis;
  failureDomain: string;
}

/** What became of the requests. */
export interface ReplayResult {
  arrived: number;
  /** First token within the objective, or later but within the deadline. */
  inTime: number;
  late: number;
  /** No place within the deadline, or no first token. */
  lost: number;
  /** Longest time that a request waited for a place, in milliseconds. */
  longestWaitMs: Millis;
  /** Most prompts that one target had to read at once. */
  mostReading: number;
}

interface ReplayVm {
  id: string;
  directory: TargetDirectory;
  slots: SlotQueue;
}

/** Plays arrivals, and tells what became of them. */
export default function replayLoad(
  arrivals: readonly Arrival[],
  fleet: ReplayFleet,
  outages: readonly ReplayOutage[] = [],
): ReplayResult {
  return new Replay(fleet, outages).play(arrivals);
}

class Replay {
  private readonly time = new ReplayTime();
  private readonly targets: ServiceTarget[];
  private readonly vms: ReplayVm[];
  /** When each target has read all prompts that it has, and how many these are. */
  private readonly readers = new Map<string, { freeAtMs: Millis; reading: number }>();
  private readonly result: ReplayResult = {
    arrived: 0,
    inTime: 0,
    late: 0,
    lost: 0,
    longestWaitMs: 0,
    mostReading: 0,
  };

  constructor(
    private readonly fleet: ReplayFleet,
    private readonly outages: readonly ReplayOutage[],
  ) {
    this.targets = Array.from({ length: fleet.targets }, (_, index) => this.createTarget(index));
    this.targets.forEach(({ id }) => this.readers.set(id, { freeAtMs: 0, reading: 0 }));
    this.vms = Array.from({ length: fleet.vms }, (_, index) => this.createVm(index));
  }

  play(arrivals: readonly Arrival[]): ReplayResult {
    arrivals.forEach((arrival) => this.time.after(arrival.atMs, () => this.arrive(arrival)));
    this.outages.forEach((outage) => this.planOutage(outage));
    this.time.runUntil((arrivals.at(-1)?.atMs ?? 0) + RUN_OUT_MS);
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

  private planOutage({ fromMs, toMs, failureDomain }: ReplayOutage): void {
    const others = this.targets.filter((target) => target.failureDomain !== failureDomain);
    const show = (targets: ServiceTarget[]): void =>
      this.vms.forEach(({ directory }) => directory.replaceAll(targets));
    this.time.after(fromMs, () => show(others));
    this.time.after(toMs, () => show(this.targets));
  }

  private arrive({ requestId, kind, prompt, maxTokens, failureDomain, atMs }: Arrival): void {
    const near = this.vms.filter((_, index) => this.domainOf(index) === failureDomain);
    const entries = near.length > 0 ? near : this.vms;
    const vm = entries[hashText(requestId) % entries.length];
    if (vm === undefined) {
      throw new Error('a fleet needs a VM');
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
      (place) => {
        this.result.longestWaitMs = Math.max(this.result.longestWaitMs, this.time.now() - atMs);
        if (place === undefined) {
          this.result.lost += 1;
          return;
        }
        const target = place.tracked.target.id;
        const endReading = vm.directory.startReadingPrompt(target);
        this.tellPeers(vm);
        const firstAtMs = this.read(target, prompt.length, endReading, vm);
        this.note(firstAtMs - atMs);
        const endAtMs = firstAtMs + maxTokens * this.fleet.tokenMs;
        this.time.after(endAtMs - this.time.now(), () => {
          place.release();
          this.tellPeers(vm);
        });
      },
    );
  }

  /** A target reads a prompt when it has read those before it; gives when that is done. */
  private read(target: string, size: number, onRead: () => void, vm: ReplayVm): Millis {
    const reader = this.readers.get(target);
    if (reader === undefined) {
      throw new Error(`no target ${target}`);
    }
    reader.reading += 1;
    this.result.mostReading = Math.max(this.result.mostReading, reader.reading);
    reader.freeAtMs = Math.max(reader.freeAtMs, this.time.now()) + size / this.fleet.readPerMs;
    this.time.after(reader.freeAtMs - this.time.now(), () => {
      reader.reading -= 1;
      onRead();
      this.tellPeers(vm);
    });
    return reader.freeAtMs;
  }

  private note(firstAfterMs: Millis): void {
    if (firstAfterMs <= this.fleet.objectiveMs) {
      this.result.inTime += 1;
    } else if (firstAfterMs <= this.fleet.deadlineMs) {
      this.result.late += 1;
    } else {
      this.result.lost += 1;
    }
  }

  private tellPeers({ id, directory }: ReplayVm): void {
    this.time.after(TOLD_AFTER_MS, () => {
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
