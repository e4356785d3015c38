/** A fleet: a fake platform, duty holders, and VMs that report their load. */
import type { Duty } from '@limelead/hold-duty';
import type { ServedService } from '@limelead/types';
import CapacityController from './capacity-controller.js';
import DemandTracker from './demand-tracker.js';
import createFakePlatform, { BOOT_MS, SERVICE } from './fake-platform.fixture.js';
import { DEFAULT_CAPACITY, type CapacitySettings } from './settings.js';

/** Options that a test may change. */
export interface FleetOptions {
  domains?: string[];
  plain?: number;
  scaling?: { min?: number; max?: number };
  settings?: Partial<CapacitySettings>;
  isFenced?: boolean;
}

/** Creates the fleet; nothing runs before a holder is created. */
export default function createFleet(options: FleetOptions = {}) {
  const { domains = ['a', 'b', 'c'], plain = 28, isFenced = true } = options;
  const fake = createFakePlatform(domains, plain, isFenced);
  const { time, targets, platform } = fake;
  const lines: { event: string; fields: Record<string, unknown> }[] = [];
  const service: ServedService = {
    name: SERVICE,
    maxConnections: 100,
    engine: { slots: 96, memoryTokens: 88_000, copiesRuns: true, stopsRuns: false },
    scaling: {
      ...{ min: 1, max: 56, bootMs: BOOT_MS, spotPrice: 0.15 },
      domainPrices: Object.fromEntries(domains.map((name) => [name, 1])),
      ...options.scaling,
    },
  };
  const services = [service];

  function createHolder(vm: string, token: number) {
    const state = { token: token as number | undefined, outdated: 0 };
    const duty: Duty = {
      holder: vm,
      permit: () =>
        state.token === undefined ? undefined : { token: state.token, heldSinceMs: 0 },
      markTokenOutdated: (outdated) => {
        state.outdated = outdated;
        state.token = undefined;
      },
    };
    const demand = new DemandTracker();
    const capacity = new CapacityController({
      ...{ duty, platform, demand, clock: time.clock, timers: time.timers },
      log: {
        write: (event, fields = {}) => void lines.push({ event, fields }),
        flush: async () => undefined,
        dropped: 0,
      },
      metrics: {
        count: () => undefined,
        recordMs: () => undefined,
        gauge: () => undefined,
        counterValue: () => 0,
        render: () => '',
      },
      settings: { ...DEFAULT_CAPACITY, usesSpot: true, ...options.settings },
      callsPerSecond: 50,
      listServices: () => services,
      listTargets: () => [...targets.values()],
    });
    capacity.start();
    return { demand, capacity, state };
  }

  /** Reports a steady load of the VMs for some seconds. */
  async function load(
    holders: { demand: DemandTracker }[],
    { runs, seconds, vms = 4 }: { runs: number; seconds: number; vms?: number },
  ): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      for (let vm = 0; vm < vms; vm += 1) {
        const report = createReport(vm, runs / 4);
        holders.forEach(({ demand }) => demand.recordReport(`vm${vm}`, report, time.clock.now()));
      }
      await time.advance(1_000);
    }
  }

  const arrivedByVm = new Map<number, number>();
  function createReport(vm: number, runs: number) {
    const arrived = (arrivedByVm.get(vm) ?? 0) + runs;
    arrivedByVm.set(vm, arrived);
    const promptTokens = arrived * 8_000;
    const now = { running: runs * 4, waiting: 0 };
    const begun = { begunTokens: promptTokens, begunMs: promptTokens * 0.14 };
    return {
      incarnation: `${vm}`,
      services: [{ service: SERVICE, arrived, promptTokens, ...now, ...begun }],
    };
  }

  return { ...fake, lines, services, createHolder, load };
}
