/**
 * Replays streams on simulated engines with bounded memory. VMs use the real search for a slot,
 * slot queue, directory and replicas, and ask a real scheduler, which learns their load with a delay.
 */
import {
  findStreamSlot,
  RunReplicas,
  type AdmittedRequest,
  type Slot,
} from '@limelead/forward-request';
import { TargetDirectory } from '@limelead/track-service-targets';
import type { Millis, ServiceTarget } from '@limelead/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import SimulatedEngine from './engine-memory.fixture.js';
import type { PlacementPlan, PlacementResult } from './placement-plan.fixture.js';
import createReplayVm, { type ReplayVm } from './replay-vm.fixture.js';
import SchedulerLink from './scheduler-link.fixture.js';
import SimulatedTime from './simulated-time.fixture.js';

const SERVICE = 'replay';
const CAPACITY_TOKENS = 88_000;
const PROMPT_TOKENS_PER_MS = 8;
const BURST = 3;
const RUN_MS: Millis = 34_000;
const DRAIN_MS: Millis = 25_000;
const SLOW_PACE = 2.5;
const SLOW_MS: Millis = 500;
const SLOW_SHARE = 0.15;
const PACE_INTERVAL_MS: Millis = 100;
const DOMAIN_LOSS_INTERVAL_MS: Millis = 6_500;
const DOMAIN_LOSS_MS: Millis = 1_200;

interface Stream {
  admitted: AdmittedRequest;
  replicas: RunReplicas;
  vm: ReplayVm;
  isPrefilled: boolean;
  isInTime: boolean;
  /** Preempted after its first piece. */
  isInterrupted: boolean;
  attempts: number;
}

interface Attempt {
  target: ServiceTarget;
  lose(): void;
}

/** Runs the replay of one plan. */
export default function replayPlacement(plan: PlacementPlan): PlacementResult {
  return new PlacementReplay(plan).run();
}

class PlacementReplay {
  private readonly time = new SimulatedTime();
  private readonly arrivals: () => number;
  private readonly slowness: () => number;
  private readonly targets: ServiceTarget[];
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly attempts = new Set<Attempt>();
  private readonly vms: ReplayVm[];
  private readonly scheduler: SchedulerLink;
  private readonly schedulerDirectory: TargetDirectory;
  private readonly result: PlacementResult = {
    ...{
      streams: 0,
      inTime: 0,
      whole: 0,
      limited: 0,
      replicas: 0,
      elsewhere: 0,
      repeatedTokens: 0,
    },
    ...{ preemptions: 0, wastedTokens: 0, maxMemoryShare: 0 },
  };

  constructor(private readonly plan: PlacementPlan) {
    this.arrivals = createRandom(plan.seed);
    this.slowness = createRandom(plan.seed + 1_000);
    this.targets = Array.from({ length: plan.engines }, (_, index) => ({
      ...{ id: `t${index}`, service: SERVICE, host: '127.0.0.1', port: index + 1 },
      ...{ failureDomain: `d${index % plan.domains}`, slots: plan.slots, leaving: false },
    }));
    for (const { id } of this.targets) {
      const engine = new SimulatedEngine({
        ...{ timers: this.time, counts: this.result, capacityTokens: CAPACITY_TOKENS },
        ...{ promptTokensPerMs: PROMPT_TOKENS_PER_MS, msPerOutputToken: plan.msPerOutputToken },
      });
      this.engines.set(id, engine);
    }
    this.schedulerDirectory = this.createDirectory();
    this.scheduler = new SchedulerLink(this.time, this.schedulerDirectory, this.memoryTokens);
    this.vms = Array.from({ length: plan.vms }, (_, index) => this.createVm(index));
  }

  run(): PlacementResult {
    this.scheduleBurst();
    if (this.plan.hasSlowTargets) {
      this.engines.forEach((engine) => this.scheduleSlowness(engine));
      this.publishPace();
    }
    if (this.plan.hasDomainLosses) {
      this.scheduleDomainLoss(0);
    }
    this.time.runUntil(RUN_MS + DRAIN_MS);
    return this.result;
  }

  /** 0 for the variant that knows no memory. */
  private get memoryTokens(): number {
    return this.plan.variant === 'slots' ? 0 : CAPACITY_TOKENS;
  }

  private createDirectory(): TargetDirectory {
    const directory = new TargetDirectory(this.time);
    directory.replaceAll(this.targets);
    return directory;
  }

  private createVm(index: number): ReplayVm {
    return createReplayVm({
      ...{ time: this.time, id: `vm${index}`, directory: this.createDirectory() },
      failureDomain: `d${index % this.plan.domains}`,
      engine: {
        slots: this.plan.slots,
        memoryTokens: this.memoryTokens,
        copiesRuns: true,
        stopsRuns: false,
      },
      onLimited: () => void (this.result.limited += 1),
      requestAdvice: (vm, ...parameters) => this.scheduler.requestAdvice(vm, ...parameters),
    });
  }

  /** Bursts of a Poisson process whose rate rises and falls by half. */
  private scheduleBurst(): void {
    const rate = this.plan.streamsPerSecond * (1 + 0.5 * Math.sin(this.time.now() / 2_000));
    this.time.after((-Math.log(1 - this.arrivals()) * BURST * 1_000) / rate, () => {
      if (this.time.now() < RUN_MS) {
        for (let index = 0; index < BURST; index += 1) {
          this.arrive();
        }
        this.scheduleBurst();
      }
    });
  }

  private arrive(): void {
    const { firstDomainShare, longShare, objectiveMs, outputTokens } = this.plan;
    const isFirst = this.arrivals() < firstDomainShare;
    const vms = this.vms.filter(({ failureDomain }) => (failureDomain === 'd0') === isFirst);
    const vm = vms[Math.floor(this.arrivals() * vms.length)]!;
    const promptTokens = this.arrivals() < longShare ? 40_000 : 8_200;
    this.result.streams += 1;
    const requestId = `s${this.result.streams}`;
    const now = this.time.now();
    const admitted = {
      request: {
        ...{ requestId, affinityKey: requestId, lastPiece: 0, body: Buffer.alloc(0) },
        ...{ promptTokens, maxOutputTokens: outputTokens },
      },
      route: { repeatable: true, objectiveMs, maxPauseMs: 700 },
      ...{ service: SERVICE, rank: 1, receivedAtMs: now, dueAtMs: now + DRAIN_MS },
    } as AdmittedRequest;
    const replicas = new RunReplicas(vm.context, admitted);
    const state = { isPrefilled: false, isInTime: false, isInterrupted: false, attempts: 0 };
    this.place({ admitted, replicas, vm, ...state });
  }

  private place(stream: Stream): void {
    const { admitted, replicas, vm } = stream;
    findStreamSlot(vm.context, admitted, replicas, {
      isFirstAttempt: stream.attempts === 0,
      hasWritten: stream.isPrefilled,
      onlyLeastLoaded: false,
      exclude: [],
      onSlot: (slot) => slot && this.start(stream, slot),
      onTooLate: () => undefined,
    });
  }

  private start(stream: Stream, slot: Slot): void {
    const { admitted, replicas, vm } = stream;
    const { directory } = vm.context;
    const { target } = slot.tracked;
    const { promptTokens, requestId } = admitted.request;
    const { outputTokens } = this.plan;
    const isResumed = replicas.takeReplicaAt(target) !== undefined;
    const replica = replicas.chooseReplicaTarget(slot);
    stream.attempts += 1;
    const startedAtMs = this.time.now();
    const endReading = isResumed ? () => undefined : directory.startReadingPrompt(target.id);
    const releaseReplica = replica && directory.addReplica(replica.id, slot.memory);
    const cleanups = [slot.release, endReading, releaseReplica ?? (() => undefined)];
    this.result.elsewhere += target.failureDomain === vm.failureDomain ? 0 : 1;
    this.result.replicas += replica === undefined ? 0 : 1;
    const end = (): void => {
      this.attempts.delete(attempt);
      cleanups.forEach((cleanup) => cleanup());
      this.scheduler.publish(vm);
    };
    const onPrefilled = (): void => {
      endReading();
      if (!isResumed) {
        vm.context.prefill.record(admitted, this.time.now() - startedAtMs);
      }
      this.recordFirstPiece(stream);
      if (replica !== undefined) {
        cleanups.push(this.engines.get(replica.id)!.addReplica(promptTokens + outputTokens));
      }
      this.scheduler.publish(vm);
    };
    const attempt: Attempt = {
      target,
      lose: () => {
        stop();
        end();
        const usable = stream.isPrefilled && replica && { target: replica, runId: requestId };
        replicas.onRunLost(usable === false ? undefined : usable);
        this.result.repeatedTokens += usable ? 0 : promptTokens;
        this.place(stream);
      },
    };
    this.attempts.add(attempt);
    this.scheduler.publish(vm);
    const onPreempted = (): void => void (stream.isInterrupted ||= stream.isPrefilled);
    const onEnded = (): void => {
      end();
      this.result.whole += stream.isInTime && !stream.isInterrupted ? 1 : 0;
    };
    const run = { promptTokens, outputTokens, onPrefilled, onEnded, onPreempted };
    const stop = this.engines.get(target.id)!.start(run, isResumed);
    if (isResumed) {
      onPrefilled();
    }
  }

  private recordFirstPiece(stream: Stream): void {
    if (!stream.isPrefilled) {
      stream.isPrefilled = true;
      const afterMs = this.time.now() - stream.admitted.receivedAtMs;
      stream.isInTime = afterMs <= this.plan.objectiveMs;
      this.result.inTime += stream.isInTime ? 1 : 0;
    }
  }

  private scheduleSlowness(engine: SimulatedEngine): void {
    const meanUsualMs = (SLOW_MS * (1 - SLOW_SHARE)) / SLOW_SHARE;
    this.time.after(-Math.log(1 - this.slowness()) * meanUsualMs, () => {
      engine.pace = SLOW_PACE;
      this.time.after(SLOW_MS, () => {
        engine.pace = 1;
        this.scheduleSlowness(engine);
      });
    });
  }

  /** Tells the scheduler the pace of the slow targets, as answers do. */
  private publishPace(): void {
    const { variant, slots } = this.plan;
    for (const [id, engine] of this.engines) {
      const tracked = this.schedulerDirectory.get(id);
      if (variant === 'memory-and-pace' && engine.pace !== 1 && tracked !== undefined) {
        const load = { running: engine.runCount, waiting: 0, slots, pacePercent: 250 };
        this.schedulerDirectory.advertisedLoads.record(tracked, load);
      }
    }
    this.time.after(PACE_INTERVAL_MS, () => this.publishPace());
  }

  private scheduleDomainLoss(index: number): void {
    this.time.after(DOMAIN_LOSS_INTERVAL_MS, () => {
      const domain = `d${index % this.plan.domains}`;
      this.listTargets(this.targets.filter(({ failureDomain }) => failureDomain !== domain));
      const lost = [...this.attempts].filter(({ target }) => target.failureDomain === domain);
      lost.forEach((attempt) => attempt.lose());
      this.time.after(DOMAIN_LOSS_MS, () => this.listTargets(this.targets));
      this.scheduleDomainLoss(index + 1);
    });
  }

  private listTargets(targets: ServiceTarget[]): void {
    const directories = this.vms.map(({ context }) => context.directory);
    [...directories, this.schedulerDirectory].forEach((one) => one.replaceAll(targets));
  }
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
