/** Injects the faults of the demonstration into a cluster. */
import { delay, type Timers } from '@limelead/types';
import type { DemoCluster, DemoVm } from './demo-cluster.js';
import type { Engine } from '@limelead/stand-ins';

/** Names of the faults on the command line. */
export const FAULT_NAMES = [
  'none',
  'engine-death',
  'engine-pause',
  'link-cut',
  'vm-death',
  'vm-stop',
  'target-leave',
  'store-outage',
  'all',
] as const;

/** Name of a fault, or `none` or `all`. */
export type FaultName = (typeof FAULT_NAMES)[number];

type SingleFault = Exclude<FaultName, 'none' | 'all'>;

/** An injected fault with its subject and time. */
export interface InjectedFault {
  fault: SingleFault;
  subject: string;
  /** Milliseconds since the first request. */
  atMs: number;
}

const ENGINE_DOWNTIME_MS = 1_500;
const ENGINE_PAUSE_MS = 2_500;
const STORE_OUTAGE_MS = 2_000;
/** Time between the announcement that an engine leaves and its end. */
const LEAVING_ENGINE_LIFETIME_MS = 6_000;
const FAULT_INTERVAL_MS = 600;

const ALL_FAULTS_IN_ORDER: SingleFault[] = [
  'link-cut',
  'store-outage',
  'engine-pause',
  'vm-death',
  'engine-death',
  'target-leave',
  'vm-stop',
];

/** Returns whether a text is the name of a fault. */
export function isFaultName(text: string): text is FaultName {
  return (FAULT_NAMES as readonly string[]).includes(text);
}

/** Injects faults and reverts those that are temporary. */
export default class FaultInjector {
  readonly injected: InjectedFault[] = [];
  /** Time at which each leaving engine was announced, by engine id. */
  readonly leavingSinceMs = new Map<string, number>();
  private readonly pending: Promise<void>[] = [];
  private readonly usedEngines = new Set<string>();

  constructor(
    private readonly cluster: DemoCluster,
    private readonly timers: Timers,
    private readonly startedAtMs: number,
  ) {}

  /** Injects one fault, or all of them one after another. */
  async inject(fault: FaultName): Promise<void> {
    const faults = fault === 'all' ? ALL_FAULTS_IN_ORDER : fault === 'none' ? [] : [fault];
    for (const [index, single] of faults.entries()) {
      if (index > 0) {
        await delay(this.timers, FAULT_INTERVAL_MS);
      }
      await this.injectOne(single);
    }
  }

  /** Resolves once all scheduled reverts and planned stops are done. */
  async waitForRecovery(): Promise<void> {
    await Promise.all(this.pending);
  }

  private async injectOne(fault: SingleFault): Promise<void> {
    switch (fault) {
      case 'engine-death':
        return this.killEngine(this.takeBusiestEngine());
      case 'engine-pause':
        return this.pauseEngine(this.takeBusiestEngine());
      case 'link-cut': {
        const engine = this.findBusiestEngine();
        this.recordFault(fault, engine.id);
        return engine.closeConnections();
      }
      case 'vm-death': {
        const vm = this.takeVm();
        this.recordFault(fault, vm.id);
        await vm.daemon.kill();
        this.cluster.platform.vms.remove(vm.id);
        return;
      }
      case 'vm-stop': {
        const vm = this.takeVm();
        this.recordFault(fault, vm.id);
        this.pending.push(vm.daemon.stop());
        return;
      }
      case 'target-leave':
        return this.announceLeaving(this.takeBusiestEngine());
      case 'store-outage':
        this.recordFault(fault, 'key-value service');
        this.cluster.platform.setOutage(true);
        return this.schedule(STORE_OUTAGE_MS, () => this.cluster.platform.setOutage(false));
    }
  }

  private async killEngine(engine: Engine): Promise<void> {
    this.recordFault('engine-death', engine.id);
    await engine.crash();
    this.schedule(ENGINE_DOWNTIME_MS, () => engine.restart());
  }

  private pauseEngine(engine: Engine): void {
    this.recordFault('engine-pause', engine.id);
    engine.pause();
    this.schedule(ENGINE_PAUSE_MS, () => engine.resume());
  }

  private announceLeaving(engine: Engine): void {
    this.recordFault('target-leave', engine.id);
    this.leavingSinceMs.set(engine.id, Date.now());
    this.cluster.platform.vms.setLeaving(engine.id);
    this.schedule(LEAVING_ENGINE_LIFETIME_MS, () => engine.crash());
  }

  private schedule(milliseconds: number, run: () => unknown): void {
    this.pending.push(delay(this.timers, milliseconds).then(async () => void (await run())));
  }

  private recordFault(fault: SingleFault, subject: string): void {
    const atMs = Math.round(performance.now() - this.startedAtMs);
    this.injected.push({ fault, subject, atMs });
  }

  /** Returns the busiest unused engine and marks it as used. */
  private takeBusiestEngine(): Engine {
    const engine = this.findBusiestEngine();
    this.usedEngines.add(engine.id);
    return engine;
  }

  private findBusiestEngine(): Engine {
    const free = this.cluster.engines.filter(({ id }) => !this.usedEngines.has(id));
    const [first, ...others] = free;
    if (first === undefined) {
      throw new Error('no unused engine is left for another fault');
    }
    return others.reduce(
      (best, engine) =>
        countRunningGenerations(engine) > countRunningGenerations(best) ? engine : best,
      first,
    );
  }

  private takeVm(): DemoVm {
    const vm = this.cluster.vms.find(({ isUp }) => isUp);
    if (vm === undefined) {
      throw new Error('no running VM is left for another fault');
    }
    vm.isUp = false;
    return vm;
  }
}

function countRunningGenerations(engine: Engine): number {
  return engine.records().filter(({ ended }) => ended === 'running').length;
}
