/** Starts the daemon of one entry VM. */
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import chooseTarget from '@limelead/choose-target';
import type { Settings } from '@limelead/read-settings';
import type { GenerationDependencies } from '@limelead/run-generation';
import { Administration, Calls, Generation, Observation } from '@limelead/schema';
import { backgroundTimers, delay, systemClock, systemRandom } from '@limelead/types';
import fastify, { type FastifyInstance } from 'fastify';
import createContext from './create-context.js';
import type { Loop } from './loop.js';
import type PeerMessenger from './peer-messenger.js';
import startPlacement, { type PlacementLoop } from './start-placement.js';
import pollTargets from './poll-targets.js';
import createAdministrationService from './services/administration-service.js';
import createCallsService from './services/calls-service.js';
import createGenerationService, { findCurrentVersion } from './services/generation-service.js';
import createObservationService from './services/observation-service.js';
import type { Runtime, Strategies, VmContext } from './vm-context.js';
import watchConfiguration from './watch-configuration.js';

const MAX_MESSAGE_BYTES = 1_048_576;
const DRAIN_CHECK_INTERVAL_MS = 20;

const SYSTEM_RUNTIME: Runtime = {
  clock: systemClock,
  timers: backgroundTimers,
  random: systemRandom,
};

/** A running daemon. */
export interface Daemon {
  rpcPort: number;
  peerPort: number;
  /** Planned stop: leaves the balancer, takes nothing new, and cuts no request. */
  stop(): Promise<void>;
  /** Ends everything at once, as the death of the VM would. */
  kill(): Promise<void>;
  renderMetrics(): string;
  /** Revision of the configuration in force here. */
  revision(): number;
}

/** Starts a daemon; resolves once it accepts callers and peers. */
export default async function startDaemon(
  settings: Settings,
  runtime: Runtime = SYSTEM_RUNTIME,
  strategies: Strategies = { chooseTarget },
): Promise<Daemon> {
  const daemon = new RunningDaemon(settings, runtime, strategies);
  await daemon.start();
  return daemon;
}

type StopPhase = 'serving' | 'leaving' | 'draining' | 'stopped';

class RunningDaemon implements Daemon {
  rpcPort = 0;
  private readonly context: VmContext;
  private readonly peers: PeerMessenger;
  private readonly server: FastifyInstance;
  private loops: Loop[] = [];
  private placement: PlacementLoop | undefined;
  private phase: StopPhase = 'serving';

  constructor(settings: Settings, runtime: Runtime, strategies: Strategies) {
    const isDraining = (): boolean => this.phase === 'draining' || this.phase === 'stopped';
    const { context, peers } = createContext(settings, runtime, strategies, isDraining);
    this.context = context;
    this.peers = peers;
    this.server = fastify({ bodyLimit: MAX_MESSAGE_BYTES, forceCloseConnections: true });
  }

  get peerPort(): number {
    return this.peers.port;
  }

  async start(): Promise<void> {
    const { rpc } = this.context.settings;
    await this.registerRoutes();
    await this.peers.start();
    this.placement = startPlacement(this.context);
    this.loops = [...pollTargets(this.context), watchConfiguration(this.context), this.placement];
    await this.server.listen({ host: rpc.host, port: rpc.port });
    const address = this.server.server.address();
    this.rpcPort = typeof address === 'object' && address !== null ? address.port : 0;
    this.context.logger.info('serving', { rpcPort: this.rpcPort, peerPort: this.peerPort });
  }

  async stop(): Promise<void> {
    if (this.phase !== 'serving') {
      return;
    }
    const { timers, settings, logger, openGenerations } = this.context;
    this.phase = 'leaving';
    logger.info('leaving the balancer');
    this.peers.announceLeaving();
    await delay(timers, settings.timing.leaveBalancerMs);
    this.phase = 'draining';
    logger.info('draining', { openGenerations: openGenerations.size });
    openGenerations.drain();
    await this.waitForOpenRequests();
    await this.placement?.release();
    await this.close();
  }

  async kill(): Promise<void> {
    this.server.server.closeAllConnections();
    await this.close();
  }

  renderMetrics(): string {
    return this.context.metrics.render();
  }

  revision(): number {
    return this.context.configuration.configuration.revision;
  }

  private async registerRoutes(): Promise<void> {
    const { context } = this;
    const generation = createGenerationService(
      context,
      this.createGenerationDependencies(),
      (organisation, requestId) => this.peers.cancelOnPeers(organisation, requestId),
    );
    await this.server.register(fastifyConnectPlugin, {
      readMaxBytes: MAX_MESSAGE_BYTES,
      routes: (router) => {
        router.service(Generation, generation);
        router.service(Calls, createCallsService(context));
        router.service(Administration, createAdministrationService(context));
        router.service(Observation, createObservationService(context));
      },
    });
    this.server.get('/metrics', async (_, reply) => {
      await reply.type('text/plain; version=0.0.4').send(context.metrics.render());
    });
    this.server.get('/readyz', async (_, reply) => {
      const isReady = this.isReady();
      await reply.code(isReady ? 200 : 503).send({ ready: isReady });
    });
  }

  /** The balancer sends callers only to a VM that is staying, configured, and can route. */
  private isReady(): boolean {
    const { configuration, targets, clock } = this.context;
    const now = clock.now();
    const usable = targets.all().filter((target) => targets.getState(target, now) === 'usable');
    const listsEngines = targets.all().some(({ role }) => role === 'engine');
    // An engine that was listed but has not reported is of no use: what it has loaded is not known.
    const canRoute = usable.some(({ report }) => !listsEngines || report !== undefined);
    return this.phase === 'serving' && configuration.configuration.revision > 0 && canRoute;
  }

  private createGenerationDependencies(): GenerationDependencies {
    const { context, peers } = this;
    const { settings, externalSystems } = context;
    return {
      ...context,
      connector: externalSystems.connector,
      failureDomain: settings.failureDomain,
      abandonedGraceMs: settings.timing.abandonedGraceMs,
      currentVersion: (service) => findCurrentVersion(context, service),
      onBreakerOpened: (target) => {
        context.metrics.count('limelead_breakers_opened_total');
        context.bus.publish('', () => ({
          kind: 'breakerChanged',
          target,
          state: 'open',
          source: 'own',
        }));
        peers.publishOpenBreaker(target);
      },
    };
  }

  /** Open requests end by themselves or are handed over; the limit is for those that do neither. */
  private async waitForOpenRequests(): Promise<void> {
    const { admission, timers, clock, settings, logger } = this.context;
    const giveUpAtMs = clock.now() + settings.timing.drainMs;
    while (admission.countOpen() > 0 && clock.now() < giveUpAtMs) {
      await delay(timers, DRAIN_CHECK_INTERVAL_MS);
    }
    if (admission.countOpen() > 0) {
      logger.error('requests were still open at the end of the drain', {
        open: admission.countOpen(),
      });
    }
  }

  private async close(): Promise<void> {
    this.phase = 'stopped';
    this.loops.forEach((loop) => loop.stop());
    await this.peers.stop();
    await this.server.close();
    await this.context.externalSystems.close();
    this.context.logger.info('stopped');
  }
}
