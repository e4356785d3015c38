/** The process of the HTTP front door: wires its components and controls start, reload and stop. */
import createDecisionLog, { type DecisionLog } from '@limelead/decision-log';
import { StoreFollower, type StorePort } from '@limelead/follow-store';
import {
  CachedPromptFinder,
  OPEN_GATE,
  SlotQueue,
  PrefillEstimator,
  SlownessTracker,
  combineObservers,
  type ForwardContext,
  type TargetDialect,
  type TargetGate,
} from '@limelead/forward-request';
import { HttpFrontDoor, type IngressDialect } from '@limelead/http-front-door';
import { createLocality, type Locality } from '@limelead/locality';
import type { ConditionalStore, DutyPlatform } from '@limelead/ports';
import createMetrics, { type Metrics } from '@limelead/metrics';
import type { SendLimiter } from '@limelead/permit-sends';
import type { CallQueue } from '@limelead/queue-calls';
import type { PeerExchange } from '@limelead/share-evidence';
import type { RetryBudgets } from '@limelead/spend-retries';
import { TargetConnections } from '@limelead/target-connections';
import {
  TargetDirectory,
  type TargetLoss,
  type TargetNotice,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import type { VersionRecord } from '@limelead/record-versions';
import type { OriginTracker } from '@limelead/track-origins';
import type { Backpressure } from '@limelead/track-backpressure';
import {
  noTargetAdvice,
  delay,
  steadyClock,
  systemRandom,
  systemTimers,
  type ServiceTarget,
} from '@limelead/types';
import acceptRelayed from './accept-relayed.js';
import createBackpressure from './create-backpressure.js';
import createCallQueue from './create-call-queue.js';
import createExchange from './create-exchange.js';
import createFleetComponents from './create-fleet-components.js';
import createPermits from './create-permits.js';
import createRunWatchers, { type RunWatchers } from './create-run-watchers.js';
import createRelay, { type RelayParts } from './create-relay.js';
import createPlacement from './create-placement.js';
import createReadPauses from './create-read-pauses.js';
import createRetryBudgets from './create-retry-budgets.js';
import EngineLoad from './engine-load.js';
import type { FleetComponent, FleetComponentContext } from './fleet-component.js';
import FairSharesComponent from './fair-shares-component.js';
import createFollowerEvents from './follower-events.js';
import type { StoreDialect } from './decoded-store-item.js';
import StoreView from './store-view.js';
import formatAddress from './format-address.js';
import GatewayServers from './gateway-servers.js';
import createPeerLossHandler from './peer-losses.js';
import createOrigins from './create-origins.js';
import createVersionRecord, { restrictToRecorded } from './create-version-record.js';
import createQuarantineComponent, { type QuarantineComponent } from './quarantine-component.js';
import createTargetNoticeHandler from './target-notices.js';
import reportAnswerExcess from './report-answer-excess.js';
import createReportUncaught, { type ReportUncaught } from './report-uncaught.js';
import type { GatewaySettings } from './settings.js';

/**
 * Timeout for opening a connection to a target; short, so that another target can be tried. A
 * connection takes 2 to 6 ms within a region, and a stream may pause for 700 ms.
 */
const CONNECT_TIMEOUT_MS = 250;
/**
 * Idle connections kept per target. Low, because a target's connection limit is shared by all VMs:
 * the targets of users accept 90 to 640 connections, from up to 410 VMs. Calls of one VM seldom
 * overlap at a target.
 */
const MAX_IDLE_CONNECTIONS = 4;
/** Minimum number of VMs assumed, until peers report more. */
const MIN_VMS = 6;
/**
 * Time for the load balancer to remove a VM that reports not ready. It checks once a second and
 * removes a VM after the second failed check.
 */
const BALANCER_REMOVAL_MS = 2_500;
/** Part of the stop grace period that is kept for closing connections and flushing the log. */
const STOP_RESERVE_MS = 150;
/** Interval at which a stop checks for requests in progress. */
const STOP_CHECK_INTERVAL_MS = 50;

/** The platform's store, protocols and paths that a gateway uses. */
export interface GatewayPlatform {
  store: StorePort;
  /** Address of the store as "host:port". Until the store answers, peers with the same address are trusted. */
  storeAddress: string;
  /** The same store, for reads and writes of single items. */
  storeItems: ConditionalStore;
  /** Undefined if the platform configures no duties. */
  dutyPlatform?: DutyPlatform;
  storeDialect: StoreDialect;
  targetDialect: TargetDialect;
  ingressDialect: IngressDialect;
  readinessPath: string;
  metricsPath: string;
}

/** One entry VM: accepts requests, follows the store and exchanges state with its peers. */
export default class Gateway {
  readonly log: DecisionLog;
  /** For exceptions that nothing caught; this VM's state is then not known to be sound. */
  readonly reportUncaught: ReportUncaught;
  private readonly metrics: Metrics = createMetrics();
  private readonly directory: TargetDirectory;
  private readonly locality: Locality;
  private readonly connections: TargetConnections;
  private readonly relaying: RelayParts;
  private readonly storeView: StoreView;
  private readonly follower: StoreFollower;
  /** Undefined if this VM has no peer address. */
  private readonly exchange: PeerExchange | undefined;
  private readonly frontDoor: HttpFrontDoor;
  private readonly runWatchers: RunWatchers;
  private readonly slowness: SlownessTracker;
  private readonly engineLoad: EngineLoad;
  private readonly retryBudgets: RetryBudgets;
  /** Fleet-wide components that the settings enable. */
  private readonly components: FleetComponent[];
  private readonly permits: SendLimiter;
  private readonly callQueue: CallQueue;
  private readonly shares: FairSharesComponent;
  private readonly backpressure: Backpressure;
  private readonly versionRecord: VersionRecord;
  private readonly origins: OriginTracker;
  private readonly placement: ReturnType<typeof createPlacement>;
  private readonly quarantine: QuarantineComponent;
  private readonly onTargetNotice: (notice: TargetNotice) => void;
  private readonly servers: GatewayServers;
  /** Resolves at the end of the stop; undefined before it is requested. */
  private stopped: Promise<void> | undefined;

  constructor(
    private settings: GatewaySettings,
    private readonly platform: GatewayPlatform,
  ) {
    this.log = createDecisionLog({ vm: settings.vm, clock: steadyClock });
    this.reportUncaught = createReportUncaught(this.log, this.metrics, steadyClock);
    this.locality = createLocality({ ...settings, prices: settings.localityPrices });
    this.retryBudgets = createRetryBudgets({
      limits: settings.retryBudget,
      ...{ clock: steadyClock, timers: systemTimers, random: systemRandom },
      ...{ log: this.log, metrics: this.metrics, readExchange: () => this.exchange },
    });
    this.directory = new TargetDirectory(steadyClock, {
      onNotice: (notice) => this.onTargetNotice(notice),
      onLost: (target, loss) => this.onTargetLost(target, loss),
      onLoad: (tracked) => this.engineLoad.onTargetLoadChange(tracked),
      hasAnnouncedLeaving: (id) => this.backpressure.isLeaving(id),
    });
    this.slowness = new SlownessTracker((id, slowness) => {
      this.directory.recordSlowness(id, slowness);
      this.exchange?.onLoadChanged();
    });
    this.engineLoad = new EngineLoad({
      directory: this.directory,
      slowness: this.slowness,
      isEngine: (service) => this.storeView.routes?.findService(service)?.engine !== undefined,
      onChange: () => this.exchange?.onLoadChanged(),
    });
    this.connections = new TargetConnections({
      ...{ clock: steadyClock, timers: systemTimers, connectTimeoutMs: CONNECT_TIMEOUT_MS },
      maxIdlePerTarget: MAX_IDLE_CONNECTIONS,
      onOpened: () => this.metrics.count('limelead_connections_opened_total'),
      onConnect: (target, isOpen) => this.relaying.onConnect(target, isOpen),
      onExcess: (target, excess) => reportAnswerExcess(this.log, this.metrics, target, excess),
    });
    this.storeView = new StoreView({
      clock: steadyClock,
      timers: systemTimers,
      log: this.log,
      leavingTargetMs: settings.leavingTargetMs,
      directory: this.directory,
      dialect: platform.storeDialect,
      readAgeMs: () => this.storeViewAgeMs,
      onConfiguration: (table) => this.frontDoor.applyLimits(table.limits),
      onReset: () => this.onStoreReplaced(),
      onChange: () => this.onStoreViewChange(),
    });
    const partContext = this.createPartContext();
    this.relaying = createRelay(partContext, this.connections);
    this.servers = new GatewayServers(partContext);
    this.permits = createPermits(partContext);
    this.shares = new FairSharesComponent(partContext);
    this.callQueue = createCallQueue(partContext, this.shares, (target) =>
      this.backpressure.rejectionsPerSecond(target),
    );
    this.backpressure = createBackpressure(partContext);
    this.versionRecord = createVersionRecord(partContext, () => this.countVms());
    this.origins = createOrigins(partContext, this.versionRecord);
    this.placement = createPlacement(partContext, {
      countVms: () => this.countVms(),
      readMaxTargetBodyBytes: () => this.settings.maxTargetBodyBytes,
    });
    this.quarantine = createQuarantineComponent(partContext, {
      connections: this.connections,
      countVms: () => this.countVms(),
      hasConnectedSince: (sinceMs) => this.relaying.reach.hasConnectedSince(sinceMs),
    });
    this.onTargetNotice = createTargetNoticeHandler(this.log, {
      ...{ versionRecord: this.versionRecord, origins: this.origins, permits: this.permits },
      ...{ quarantine: this.quarantine, connections: this.connections, slowness: this.slowness },
    });
    this.components = [this.quarantine, this.shares, ...createFleetComponents(partContext)];
    this.runWatchers = createRunWatchers(partContext, this.connections, this.relaying.dialect);
    this.frontDoor = new HttpFrontDoor({
      ...settings.frontDoor,
      maxBufferedAnswerBytes: settings.maxBufferedAnswerBytes,
      context: this.createContext(),
      dialect: platform.ingressDialect,
    });
    this.addGauges();
    this.follower = this.createFollower();
    const { log, directory, locality, storeView, follower, engineLoad, retryBudgets } = this;
    const { permits, callQueue, backpressure, gate, shares, origins } = this;
    this.exchange = createExchange({
      ...{ settings, clock: steadyClock, log, directory, locality, storeView, follower },
      ...{ engineLoad, retryBudgets, permits, callQueue, backpressure, gate, shares, origins },
      reach: this.relaying.reach,
      guard: this.quarantine.guard,
      storeAddress: platform.storeAddress,
      onRequest: (message, response) =>
        acceptRelayed(message, response, this.frontDoor, this.metrics),
      onMisdirected: (message) => this.servers.onMisdirected('peers', message),
      onFault: () => this.metrics.count('limelead_faults_total', 1, { boundary: 'peer' }),
      onPeerLoss: createPeerLossHandler(partContext, this.quarantine),
      onPeerOfOtherStore: () => this.metrics.count('limelead_strangers_total'),
      onBorrowedRetries: (service, repeats) => this.onBorrowedRetries(service, repeats),
      onReport: (peer, report) =>
        this.components.forEach((component) => component.onReport?.(peer, report)),
    });
  }

  /**
   * Opens all servers, then starts to follow the store, unless a stop was requested meanwhile.
   * Resolves when the servers listen.
   */
  async start(): Promise<void> {
    const { settings } = this;
    await this.servers.start({
      frontDoor: () => this.frontDoor.listen(),
      peers: async () => this.exchange?.start(),
      isReady: () => this.isReady,
    });
    if (this.stopped !== undefined) {
      return;
    }
    this.log.write('started', {
      failureDomain: settings.failureDomain,
      region: this.locality.region,
      frontDoor: formatAddress(settings.frontDoor),
      sinceProcessStartMs: Math.round(performance.now()),
    });
    void this.follower.run();
    this.components.forEach((component) => component.start());
  }

  /** Whether this VM reports ready to the load balancer. */
  get isReady(): boolean {
    return this.stopped === undefined && this.storeView.isComplete;
  }

  /** Applies new settings. Addresses take effect at the next start only. */
  reload(settings: GatewaySettings): void {
    this.settings = settings;
    this.retryBudgets.changeLimits(settings.retryBudget);
    this.log.write('settings-reloaded', { failureDomain: settings.failureDomain });
  }

  /** Logs invalid settings; the last valid ones stay in force. */
  onInvalidSettings(reason: string): void {
    this.log.write('settings-refused', { reason });
  }

  /**
   * Stops gracefully: requests in progress may finish within the grace period. Every call resolves
   * at the end of the stop.
   */
  stop(): Promise<void> {
    this.stopped ??= this.drainAndClose();
    return this.stopped;
  }

  private async drainAndClose(): Promise<void> {
    const startedAtMs = steadyClock.now();
    const { stopGraceMs } = this.settings;
    const handedOver = Promise.all(this.components.map((component) => component.handOver()));
    this.log.write('stopping', { underWay: this.frontDoor.openRequests, graceMs: stopGraceMs });
    const drainMs = stopGraceMs - STOP_RESERVE_MS;
    this.frontDoor.startDraining(startedAtMs + drainMs);
    const elapsed = (): number => steadyClock.now() - startedAtMs;
    while (
      elapsed() < drainMs &&
      (elapsed() < BALANCER_REMOVAL_MS || this.frontDoor.openRequests > 0)
    ) {
      await delay(systemTimers, Math.min(STOP_CHECK_INTERVAL_MS, drainMs - elapsed()));
    }
    this.log.write('stopped', {
      underWay: this.frontDoor.openRequests,
      afterMs: Math.round(elapsed()),
    });
    // Nothing is awaited since the last check: a request that came meanwhile would be cut.
    await this.frontDoor.close();
    await Promise.all([handedOver, this.runWatchers.runStopper.settle(STOP_RESERVE_MS)]);
    this.components.forEach((component) => component.onDrained?.());
    this.follower.stop();
    await this.exchange?.stop();
    this.connections.closeAll();
    this.servers.close();
    await this.log.flush();
  }

  private createPartContext(): FleetComponentContext {
    const { settings, platform } = this;
    return {
      settings,
      platform,
      clock: steadyClock,
      timers: systemTimers,
      random: systemRandom,
      log: this.log,
      metrics: this.metrics,
      directory: this.directory,
      storeView: this.storeView,
      readStoreViewAgeMs: () => this.storeViewAgeMs,
      readExchange: () => this.exchange,
    };
  }

  private addGauges(): void {
    this.metrics.gauge('limelead_requests_under_way', () => this.frontDoor.openRequests);
    this.metrics.gauge('limelead_held_body_bytes', () => this.frontDoor.bufferedBodyBytes);
    this.metrics.gauge('limelead_log_lines_dropped', () => this.log.dropped);
    this.metrics.gauge('limelead_store_knowledge_age_ms', () => this.storeViewAgeMs);
  }

  private get gate(): TargetGate {
    const gate = this.components.find((component) => component.gate !== undefined)?.gate;
    return restrictToRecorded(gate ?? OPEN_GATE, this.versionRecord);
  }

  private createContext(): ForwardContext {
    const { directory, locality, connections, log, backpressure, permits, origins } = this;
    const { failureDomain, placesByMemoryAndPace = false } = this.settings;
    const { dialect, relay } = this.relaying;
    const shared = {
      clock: steadyClock,
      timers: systemTimers,
      random: systemRandom,
      directory,
      backpressure,
      gate: this.gate,
      placesByMemoryAndPace,
    };
    return {
      ...shared,
      guard: this.quarantine.guard,
      permits,
      relay,
      origins,
      failureDomain,
      locality,
      connections,
      dialect,
      slots: new SlotQueue({
        ...{ ...shared, ...this.placement, failureDomain, locality, permits, shares: this.shares },
        limit: concurrencyLimitOf,
        places: this.callQueue,
      }),
      requestAdvice: (request, receive) =>
        this.exchange?.requestTargetAdvice(request, receive) ?? noTargetAdvice(request, receive),
      ...this.runWatchers,
      prefill: new PrefillEstimator(),
      slowness: this.slowness,
      readPauses: createReadPauses(log, this.metrics, steadyClock),
      cachedPrompts: new CachedPromptFinder({ ...shared, connections, dialect, log }),
      log,
      metrics: this.metrics,
      observer: combineObservers(this.components.flatMap(({ observer }) => observer ?? [])),
      readRouteTable: () => this.storeView.routes,
      readStoreViewAgeMs: () => this.storeViewAgeMs,
      readConfigurationSource: () => this.storeView.configurationSource,
      retryBudgetOf: (service) => this.retryBudgets.forService(service),
    };
  }

  private createFollower(): StoreFollower {
    const { configurationWithinMs, leavingTargetMs } = this.settings;
    return new StoreFollower({
      port: this.platform.store,
      maxStalenessMs: Math.min(configurationWithinMs, leavingTargetMs),
      clock: steadyClock,
      timers: systemTimers,
      random: systemRandom,
      countFollowers: () => Math.max(1, this.exchange?.storeFollowerCount ?? 0),
      mustFollow: () => this.exchange?.mustFollowStore ?? true,
      followsForPeers: () => this.exchange?.isStoreFollower ?? false,
      readRevision: () => this.storeView.revision,
      peersRetry: () => this.exchange?.delegatesStoreRetries ?? false,
      startupWaitMs: () => this.exchange?.firstWatchDelayMs ?? 0,
      events: createFollowerEvents({
        log: this.log,
        metrics: this.metrics,
        storeView: this.storeView,
        readExchange: () => this.exchange,
        readStoreViewAgeMs: () => this.storeViewAgeMs,
      }),
    });
  }

  /** Time since the store last confirmed this VM's view, directly or through a peer. */
  private get storeViewAgeMs(): number {
    const newestMs = Math.max(
      this.follower.lastAnswerAtMs,
      this.exchange?.storeConfirmedAtMs ?? -Infinity,
    );
    return Math.round(steadyClock.now() - newestMs);
  }

  private onStoreReplaced(): void {
    this.versionRecord.reset();
    this.exchange?.onStoreReplaced();
  }

  private onStoreViewChange(): void {
    this.versionRecord.onViewChange();
    this.components.forEach((component) => component.onStoreViewChange?.());
    this.exchange?.onSyncStateChanged();
    this.frontDoor.onStoreViewChange();
  }

  private countVms(): number {
    return Math.max(MIN_VMS, this.exchange?.totalVmCount ?? 0);
  }

  private onBorrowedRetries(service: string, repeats: number): void {
    this.retryBudgets.borrow(service, repeats);
    this.metrics.count('limelead_repeats_borrowed_total', repeats);
    this.log.write('repeats-borrowed', { service, repeats });
  }

  private onTargetLost(target: ServiceTarget, loss: TargetLoss): void {
    this.relaying.onLost(target, loss);
    this.quarantine.onTargetDoubted(target.id);
  }
}

/** The number of requests that may run at a target at once. */
function concurrencyLimitOf({ target }: TrackedServiceTarget): number {
  return Math.max(1, target.slots);
}
