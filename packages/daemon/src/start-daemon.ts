/** Starts the daemon of one entry VM. */
import { fastifyConnectPlugin } from '@connectrpc/connect-fastify';
import chooseTarget from '@limelead/choose-target';
import { describeThrown, findConnection } from '@limelead/errors';
import type { Settings } from '@limelead/read-settings';
import type { GenerationDependencies } from '@limelead/run-generation';
import { Administration, Calls, Generation, Observation } from '@limelead/schema';
import { backgroundTimers, delay, systemClock, systemRandom, type Millis } from '@limelead/types';
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
/** Time for the errors of requests that are open at the end of the drain. */
const STOP_ERROR_MS = 1_000;

const SYSTEM_RUNTIME: Runtime = {
  clock: systemClock,
  timers: backgroundTimers,
  random: systemRandom,
};

/** A running daemon. */
export interface Daemon {
  rpcPort: number;
  peerPort: number;
  /**
   * Stops gracefully: leaves the load balancer, refuses new requests and drains open ones. Every
   * call resolves at the end of the stop.
   */
  stop(): Promise<void>;
  /** Stops immediately and drops open connections, as a crash of the VM does. */
  kill(): Promise<void>;
  /** Logs and counts an exception that nothing caught; the VM's state is then not known to be sound. */
  reportUncaught(thrown: unknown): void;
  renderMetrics(): string;
  /** Revision of this VM's current configuration. */
  revision(): number;
}

/** Starts a daemon; resolves once it accepts connections of callers and peers. */
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
  /** Resolves at the end of the stop; undefined before it is requested. */
  private stopped: Promise<void> | undefined;

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

  stop(): Promise<void> {
    this.stopped ??= this.drainAndClose();
    return this.stopped;
  }

  async kill(): Promise<void> {
    this.server.server.closeAllConnections();
    await this.close();
  }

  reportUncaught(thrown: unknown): void {
    const { metrics, logger } = this.context;
    metrics.count('limelead_faults_total', 1, { boundary: 'process' });
    const reason = describeThrown(thrown);
    logger.error('uncaught exception', { reason, connection: findConnection(thrown) });
  }

  renderMetrics(): string {
    return this.context.metrics.render();
  }

  revision(): number {
    return this.context.configuration.configuration.revision;
  }

  private async drainAndClose(): Promise<void> {
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

  /** Ready: not shutting down, with a configuration and at least one target to route to. */
  private isReady(): boolean {
    const { configuration, targets, clock } = this.context;
    const now = clock.now();
    const usable = targets.all().filter((target) => targets.getState(target, now) === 'usable');
    const hasEngines = targets.all().some(({ role }) => role === 'engine');
    // The loaded models of an engine are unknown until its first load report.
    const canRoute = usable.some(({ report }) => !hasEngines || report !== undefined);
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

  /** Waits for open requests to end or be handed over; ends those open after the drain time. */
  private async waitForOpenRequests(): Promise<void> {
    const { admission, settings, logger, openGenerations, openCalls } = this.context;
    await this.waitWhileOpen(settings.timing.drainMs);
    if (admission.countOpen() > 0) {
      logger.error('requests were still open at the end of the drain', {
        open: admission.countOpen(),
      });
      openGenerations.stopAll();
      openCalls.stopAll();
      await this.waitWhileOpen(STOP_ERROR_MS);
    }
  }

  private async waitWhileOpen(limitMs: Millis): Promise<void> {
    const { admission, timers, clock } = this.context;
    const deadlineMs = clock.now() + limitMs;
    while (admission.countOpen() > 0 && clock.now() < deadlineMs) {
      await delay(timers, DRAIN_CHECK_INTERVAL_MS);
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
