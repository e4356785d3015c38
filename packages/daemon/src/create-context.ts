/** Creates and connects the components of one VM. */
import { computeLimitShare, createAdmissionController } from '@limelead/admit-request';
import { createCallClaimer } from '@limelead/claim-call';
import {
  createHttpKeyValueStore,
  createHttpTargetConnector,
  createHttpTransport,
  createHttpVmListSource,
} from '@limelead/http-adapters';
import createLogger from '@limelead/logger';
import createMetrics from '@limelead/metrics';
import createEventBus from '@limelead/observe-events';
import createRecoveryPacer from '@limelead/pace-recoveries';
import type { Settings } from '@limelead/read-settings';
import createHandleSigner from '@limelead/resume-handle';
import { createCallRunner } from '@limelead/run-call';
import { createTokenGapTable } from '@limelead/run-generation';
import { createConfigurationStore } from '@limelead/store-configuration';
import { createMemberTable } from '@limelead/track-members';
import { createTargetTable } from '@limelead/track-targets';
import { randomBytes } from 'node:crypto';
import Authenticator from './authenticator.js';
import ConfigurationHolder from './configuration-holder.js';
import OpenCalls from './open-calls.js';
import OpenGenerations from './open-generations.js';
import PeerMessenger from './peer-messenger.js';
import type { ExternalSystems, Runtime, Strategies, VmContext } from './vm-context.js';

const INCARNATION_BYTES = 6;
/** Concurrent recoveries per engine, over all VMs. */
const MAX_RECOVERIES_PER_ENGINE = 4;
const MIN_RECOVERIES = 2;

/** The shared context of one VM and its connection to the peers. */
export interface VmComponents {
  context: VmContext;
  peers: PeerMessenger;
}

/** Creates the components of one VM without starting them. */
export default function createContext(
  settings: Settings,
  runtime: Runtime,
  strategies: Strategies,
  isDraining: () => boolean,
): VmComponents {
  const { clock, timers, random } = runtime;
  const incarnation = `${settings.id}.${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  const metrics = createMetrics();
  const bus = createEventBus(settings.id, clock);
  const externalSystems = connectExternalSystems(settings);
  const targets = createTargetTable({ maxListAgeMs: settings.timing.maxListAgeMs });
  const members = createMemberTable(settings.id);
  settings.peers.seeds.forEach((seed) => members.addSeed(seed));

  const countVms = (): number => members.present(clock.now()).length + 1;
  const computeShare = (organisation: string): number => {
    const own = admission.demandOf(organisation, clock.now());
    return computeLimitShare(own, peers.listPeerDemands(organisation), countVms());
  };
  const admission = createAdmissionController(
    { maxOpenRequests: settings.limits.maxOpenRequests },
    computeShare,
  );

  const getRecoverySlots = (): number => {
    const engines = targets.listUsableEngines(clock.now()).length;
    return Math.max(MIN_RECOVERIES, Math.ceil((engines * MAX_RECOVERIES_PER_ENGINE) / countVms()));
  };

  const context: VmContext = {
    ...runtime,
    settings,
    incarnation,
    logger: createLogger(settings.id, settings.log.level),
    metrics,
    bus,
    externalSystems,
    targets,
    gaps: createTokenGapTable(),
    members,
    configuration: new ConfigurationHolder(),
    configurationStore: createConfigurationStore(externalSystems.store, clock, timers),
    admission,
    pacer: strategies.pacer ?? createRecoveryPacer(getRecoverySlots),
    chooseTarget: strategies.chooseTarget,
    authenticator: new Authenticator(settings.operators),
    signer: createHandleSigner(settings.peers.secret),
    openGenerations: new OpenGenerations(),
    openCalls: new OpenCalls(),
    callRunner: createCallRunner({
      clock,
      random,
      metrics,
      bus,
      targets,
      connector: externalSystems.connector,
      claimer: createCallClaimer({
        store: externalSystems.store,
        clock,
        timers,
        random,
        incarnation,
      }),
      queryHolder: (holder, organisation, requestId) =>
        peers.queryClaimHolder(holder, organisation, requestId),
    }),
    isDraining,
  };
  const peers = new PeerMessenger(context);
  context.configuration.onAdvance((configuration) => context.authenticator.update(configuration));
  registerGauges(context);
  return { context, peers };
}

function connectExternalSystems(settings: Settings): ExternalSystems {
  const transport = createHttpTransport();
  const { keyValue, vmList } = settings.platform;
  return {
    store: createHttpKeyValueStore(transport, keyValue.host, keyValue.port),
    vmList: createHttpVmListSource(transport, vmList.host, vmList.port),
    connector: createHttpTargetConnector(transport),
    close: () => transport.close(),
  };
}

function registerGauges({ metrics, openGenerations, admission, configuration }: VmContext): void {
  metrics.gauge('limelead_open_generations', () => openGenerations.size);
  metrics.gauge('limelead_open_requests', () => admission.countOpen());
  metrics.gauge('limelead_configuration_revision', () => configuration.configuration.revision);
  metrics.gauge('limelead_cpu_milliseconds', readCpuMilliseconds);
  metrics.gauge('limelead_resident_bytes', () => process.memoryUsage.rss());
}

/** CPU time that the process has used since its start. */
function readCpuMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}
