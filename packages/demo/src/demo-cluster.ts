/** Starts a cluster of VMs and stand-ins in one process, on loopback sockets. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@limelead/client';
import { startDaemon, type Daemon, type Strategies } from '@limelead/daemon';
import type { Settings } from '@limelead/read-settings';
import { ApplyRequestSchema } from '@limelead/schema';
import {
  startEngine,
  startPlainService,
  startPlatform,
  type Engine,
  type EngineOptions,
  type PlainServiceStandIn,
  type Platform,
  type PlatformOptions,
} from '@limelead/stand-ins';
import { delay, systemTimers, type ListedVm, type Resource } from '@limelead/types';
import createSettings from './create-settings.js';
import { createDemoResources, DEMO_KEYS, DEMO_VERSIONS } from './demo-configuration.js';
import toOperations from './to-operations.js';

const HOST = '127.0.0.1';
const READY_CHECK_MS = 20;
const LIST_CHECK_MS = 10;

/** Size and configuration of the cluster. */
export interface DemoClusterOptions {
  vms: number;
  engines: number;
  plainServices: number;
  resources: Resource[];
  engine: Partial<EngineOptions>;
  platform: Partial<PlatformOptions>;
  strategies?: Strategies;
  /** Changes to the timing of the VMs. */
  timing?: Partial<Settings['timing']>;
  /** Names of the failure domains, assigned to VMs and targets in turn. */
  domains: readonly string[];
}

/** One VM of the cluster. */
export interface DemoVm {
  id: string;
  daemon: Daemon;
  /** Base URL for callers. */
  url: string;
  isUp: boolean;
}

/** A running cluster. */
export interface DemoCluster {
  platform: Platform;
  engines: Engine[];
  plainServices: PlainServiceStandIn[];
  vms: DemoVm[];
  /** Base URLs of the VMs that are up. */
  urls(): string[];
  /** Starts another VM and waits until it is ready. */
  addVm(): Promise<DemoVm>;
  stop(): Promise<void>;
}

const DEFAULT_OPTIONS: DemoClusterOptions = {
  vms: 3,
  engines: 4,
  plainServices: 2,
  resources: createDemoResources(),
  engine: {},
  platform: {},
  domains: ['depot-north', 'depot-south', 'civic-hall'],
};

/** Starts a cluster, applies its configuration, and waits until every VM is ready. */
export default async function startDemoCluster(
  options: Partial<DemoClusterOptions> = {},
): Promise<DemoCluster> {
  const settings = { ...DEFAULT_OPTIONS, ...options };
  const platform = await startPlatform(settings.platform);
  const engines = await startEngines(settings, platform);
  const plainServices = await startPlainServices(settings, platform);
  const vms: DemoVm[] = [];
  // A VM is ready as soon as it knows one target, so its first list must have all of them.
  await waitUntilListed(platform, engines.length + plainServices.length);

  async function startVm(): Promise<DemoVm> {
    const vm = await startDemoVm(platform, vms, settings);
    vms.push(vm);
    return vm;
  }

  for (let index = 0; index < settings.vms; index += 1) {
    await startVm();
  }
  await applyResources(vms[0], settings.resources);
  await Promise.all(vms.map((vm) => waitUntilReady(vm.url)));

  return {
    platform,
    engines,
    plainServices,
    vms,
    urls: () => vms.filter(({ isUp }) => isUp).map(({ url }) => url),
    async addVm() {
      const vm = await startVm();
      await waitUntilReady(vm.url);
      return vm;
    },
    async stop() {
      await Promise.all(vms.filter(({ isUp }) => isUp).map(({ daemon }) => daemon.kill()));
      await Promise.all(engines.map((engine) => engine.stop()));
      await Promise.all(plainServices.map((service) => service.stop()));
      await platform.stop();
    },
  };
}

/** Resolves once the readiness endpoint of a VM reports that it is ready. */
export async function waitUntilReady(url: string): Promise<void> {
  for (;;) {
    const response = await fetch(`${url}/readyz`);
    await response.arrayBuffer();
    if (response.ok) {
      return;
    }
    await delay(systemTimers, READY_CHECK_MS);
  }
}

/** Resolves once readers of the list of VMs see `count` entries. */
async function waitUntilListed(platform: Platform, count: number): Promise<void> {
  while (platform.vms.read().vms.length < count) {
    await delay(systemTimers, LIST_CHECK_MS);
  }
}

async function startEngines(options: DemoClusterOptions, platform: Platform): Promise<Engine[]> {
  const engines: Engine[] = [];
  for (let index = 0; index < options.engines; index += 1) {
    const id = `engine-${index + 1}`;
    const engine = await startEngine({
      id,
      loaded: Object.values(DEMO_VERSIONS),
      ...options.engine,
    });
    platform.vms.add(
      createListedVm(id, 'engine', engine.port, selectDomain(options.domains, index)),
    );
    engines.push(engine);
  }
  return engines;
}

async function startPlainServices(
  { plainServices: count, domains }: DemoClusterOptions,
  platform: Platform,
): Promise<PlainServiceStandIn[]> {
  const services: PlainServiceStandIn[] = [];
  for (let index = 0; index < count; index += 1) {
    const service = await startPlainService();
    const vm = createListedVm(
      `plain-${index + 1}`,
      'plain',
      service.port,
      selectDomain(domains, index),
    );
    platform.vms.add({ ...vm, services: ['booking'] });
    services.push(service);
  }
  return services;
}

async function startDemoVm(
  platform: Platform,
  others: DemoVm[],
  { strategies, domains, timing }: DemoClusterOptions,
): Promise<DemoVm> {
  const index = others.length;
  const id = `vm-${index + 1}`;
  const seeds = others
    .filter(({ isUp }) => isUp)
    .map((vm) => ({ id: vm.id, host: HOST, port: vm.daemon.peerPort }));
  const failureDomain = selectDomain(domains, index);
  const settings = createSettings({ id, failureDomain, platformPort: platform.port, seeds });
  Object.assign(settings.timing, timing);
  const daemon = await startDaemon(settings, undefined, strategies);
  platform.vms.add(createListedVm(id, 'entry', daemon.peerPort, failureDomain));
  return { id, daemon, url: `http://${HOST}:${daemon.rpcPort}`, isUp: true };
}

async function applyResources(vm: DemoVm | undefined, resources: Resource[]): Promise<void> {
  if (vm === undefined || resources.length === 0) {
    return;
  }
  const client = createClient({ urls: [vm.url], key: DEMO_KEYS.operator });
  const operations = toOperations(resources);
  const request = create(ApplyRequestSchema, {
    changeId: 'demo-setup',
    operations,
    reason: 'set up the demonstration',
  });
  await client.administration.apply(request, { headers: client.headers });
  await client.close();
}

function createListedVm(
  id: string,
  role: ListedVm['role'],
  port: number,
  failureDomain: string,
): ListedVm {
  return { id, role, host: HOST, port, failureDomain, leaving: false, services: [] };
}

function selectDomain(domains: readonly string[], index: number): string {
  return domains[index % domains.length] ?? '';
}
