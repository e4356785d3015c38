/** One process of the HTTP front door. */
import createDecisionLog, {
  createLineLimit,
  type DecisionLog,
  type LimitedLines,
} from '@limelead/decision-log';
import { StoreFollower, type StorePort } from '@limelead/follow-store';
import {
  KeptPrompts,
  OPEN_GATE,
  SlotQueue,
  ReadingTime,
  SilenceWatch,
  TargetPace,
  tellAll,
  type ForwardContext,
  type TargetDialect,
  type TargetGate,
} from '@limelead/forward-request';
import { HttpFrontDoor, readRequestId, type IngressDialect } from '@limelead/http-front-door';
import { createLocality, type Locality } from '@limelead/locality';
import type { ConditionalStore, DutyPlatform } from '@limelead/ports';
import createMetrics, { type Metrics } from '@limelead/metrics';
import type { SendPermits } from '@limelead/permit-sends';
import type { PeerExchange } from '@limelead/share-evidence';
import { RetryBudgets } from '@limelead/spend-retries';
import { TargetConnections } from '@limelead/target-connections';
import {
  TargetDirectory,
  type TargetNotice,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import type { Backpressure } from '@limelead/track-backpressure';
import { askNobody, delay, steadyClock, systemRandom, systemTimers } from '@limelead/types';
import type { IncomingMessage, Server } from 'node:http';
import createBackpressure from './create-backpressure.js';
import createExchange from './create-exchange.js';
import createFleetParts from './create-fleet-parts.js';
import createPermits from './create-permits.js';
import EngineLoad from './engine-load.js';
import type { FleetPart, FleetPartContext } from './fleet-part.js';
import createFollowerEvents from './follower-events.js';
import Knowledge, { type StoreDialect } from './knowledge.js';
import formatAddress from './format-address.js';
import listenUntilFree from './listen-until-free.js';
import createQuarantinePart, { type QuarantinePart } from './quarantine-part.js';
import { startMetricsServer, startReadinessServer } from './readiness-server.js';
import type { GatewaySettings } from './settings.js';

/**
 * Time for a connection to a target, in milliseconds. One takes 2 to 6 ms within
 * the users' regions; a stream may stand still for 700 ms until it goes on.
 */
const CONNECT_TIMEOUT_MS = 250;
/**
 * Idle connections kept to one target. The users' targets take 90 to 640 from all
 * VMs together, 410 VMs at most; calls of one VM seldom overlap at a target.
 */
const MAX_IDLE_CONNECTIONS = 4;
/** VMs assumed to share the retry budget while nobody told of more: the smallest site's. */
const LEAST_VMS = 6;
/**
 * Time for the balancer to notice that this VM is not ready any more, in
 * milliseconds: it asks once a second and takes a VM out at the second miss.
 */
const LEAVE_BALANCER_MS = 2_500;
/** Part of the grace that is kept for closing connections and writing the last lines. */
const STOP_RESERVE_MS = 150;
/** Pause between two looks whether anything is still under way, in milliseconds. */
const STOP_CHECK_MS = 50;

/** What this VM listens for. */
type Door = 'front-door' | 'readiness' | 'metrics' | 'peers';

/** What a gateway needs from the platform. */
export interface GatewayPlatform {
  store: StorePort;
  /** Where the store is, as "host:port"; peers that name the same are believed before it answers. */
  storeAddress: string;
  /** The same store, for reads and writes of single items. */
  storeItems: ConditionalStore;
  /** Undefined where the platform names no duties. */
  dutyPlatform?: DutyPlatform;
  storeDialect: StoreDialect;
  targetDialect: TargetDialect;
  ingressDialect: IngressDialect;
  readinessPath: string;
  metricsPath: string;
}

/** Runs one process. */
export default class Gateway {
  readonly log: DecisionLog;
  private readonly noteMisdirected: LimitedLines;
  private readonly metrics: Metrics = createMetrics();
  private readonly directory: TargetDirectory;
  private readonly locality: Locality;
  private readonly connections: TargetConnections;
  private readonly knowledge: Knowledge;
  private readonly follower: StoreFollower;
  /** Undefined where this VM has no address for peers. */
  private readonly exchange: PeerExchange | undefined;
  private readonly frontDoor: HttpFrontDoor;
  private readonly pace: TargetPace;
  private readonly engineLoad: EngineLoad;
  private readonly retries: RetryBudgets;
  /** Parts that look at the whole fleet; those that nothing asks for are not there. */
  private readonly parts: FleetPart[];
  private readonly permits: SendPermits;
  private readonly backpressure: Backpressure;
  private readonly quarantine: QuarantinePart;
  private readonly servers: Server[] = [];
  private isStopping = false;

  constructor(
    private settings: GatewaySettings,
    private readonly platform: GatewayPlatform,
  ) {
    this.log = createDecisionLog({ vm: settings.vm, clock: steadyClock });
    this.noteMisdirected = createLineLimit(this.log, steadyClock, 'request-misdirected');
    this.locality = createLocality({ ...settings, prices: settings.localityPrices });
    this.retries = new RetryBudgets({
      budget: settings.retryBudget,
      clock: steadyClock,
      countVms: () => this.countVms(),
      onShort: (service) => this.exchange?.borrowRetries(service),
    });
    this.directory = new TargetDirectory(steadyClock, {
      onNotice: (notice) => this.onNotice(notice),
      onLost: (id, loss) => this.exchange?.publishLoss(id, loss),
      onLoad: (tracked) => this.engineLoad.note(tracked),
      hasAnnouncedLeaving: (id) => this.backpressure.isLeaving(id),
    });
    this.pace = new TargetPace((id, slowness) => {
      this.directory.notePace(id, slowness);
      this.exchange?.onLoadChanged();
    });
    this.engineLoad = new EngineLoad({
      directory: this.directory,
      pace: this.pace,
      isEngine: (service) => this.knowledge.routes?.findService(service)?.engine !== undefined,
      onChange: () => this.exchange?.onLoadChanged(),
    });
    this.connections = new TargetConnections({
      clock: steadyClock,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxIdle: MAX_IDLE_CONNECTIONS,
      onOpened: () => this.metrics.count('limelead_connections_opened_total'),
    });
    this.knowledge = new Knowledge({
      clock: steadyClock,
      timers: systemTimers,
      log: this.log,
      leavingTargetMs: settings.leavingTargetMs,
      directory: this.directory,
      dialect: platform.storeDialect,
      readAgeMs: () => this.knowledgeAgeMs,
      onConfiguration: (table) => this.frontDoor.applyLimits(table.limits),
      onForgotten: () => this.exchange?.onStoreReplaced(),
      onChange: () => this.onKnowledge(),
    });
    const partContext: FleetPartContext = {
      settings,
      platform,
      clock: steadyClock,
      timers: systemTimers,
      random: systemRandom,
      log: this.log,
      metrics: this.metrics,
      directory: this.directory,
      knowledge: this.knowledge,
      readKnowledgeAgeMs: () => this.knowledgeAgeMs,
      readExchange: () => this.exchange,
    };
    this.permits = createPermits(partContext);
    this.backpressure = createBackpressure(partContext);
    this.quarantine = createQuarantinePart(partContext, {
      connections: this.connections,
      countVms: () => this.countVms(),
    });
    this.parts = [this.quarantine, ...createFleetParts(partContext)];
    this.frontDoor = new HttpFrontDoor({
      ...settings.frontDoor,
      context: this.createContext(),
      dialect: platform.ingressDialect,
    });
    this.metrics.gauge('limelead_requests_under_way', () => this.frontDoor.underWay);
    this.metrics.gauge('limelead_held_body_bytes', () => this.frontDoor.heldBodyBytes);
    this.metrics.gauge('limelead_log_lines_dropped', () => this.log.dropped);
    this.metrics.gauge('limelead_store_knowledge_age_ms', () => this.knowledgeAgeMs);
    this.follower = this.createFollower();
    this.exchange = createExchange({
      settings,
      clock: steadyClock,
      log: this.log,
      directory: this.directory,
      locality: this.locality,
      knowledge: this.knowledge,
      follower: this.follower,
      engineLoad: this.engineLoad,
      retries: this.retries,
      guard: this.quarantine.guard,
      permits: this.permits,
      backpressure: this.backpressure,
      gate: this.gate,
      storeAddress: platform.storeAddress,
      onMisdirected: (message) => this.onMisdirected('peers', message),
      onFault: () => this.metrics.count('limelead_faults_total', 1, { boundary: 'peer' }),
      onStranger: () => this.metrics.count('limelead_strangers_total'),
      onRepeats: (service, repeats) => this.onRepeats(service, repeats),
      onReport: (peer, report) => this.parts.forEach((part) => part.onReport?.(peer, report)),
    });
  }

  /** Listens, then learns what there is to know; resolves when it listens. */
  async start(): Promise<void> {
    const { settings } = this;
    await this.listen('front-door', () => this.frontDoor.listen());
    await this.listen('readiness', () => this.startReadiness());
    await this.listen('metrics', () => this.startMetrics());
    await this.listen('peers', async () => this.exchange?.start());
    this.log.write('started', {
      failureDomain: settings.failureDomain,
      region: this.locality.region,
      frontDoor: formatAddress(settings.frontDoor),
      sinceProcessStartMs: Math.round(performance.now()),
    });
    void this.follower.run();
    this.parts.forEach((part) => part.start());
  }

  private listen<Listening>(door: Door, open: () => Promise<Listening>): Promise<Listening> {
    return listenUntilFree({ log: this.log, timers: systemTimers }, door, open);
  }

  private async startReadiness(): Promise<void> {
    const { readinessPath } = this.platform;
    const isReady = (): boolean => this.isReady;
    const note = (message: IncomingMessage): void => this.onMisdirected('readiness', message);
    const server = startReadinessServer(this.settings.readiness, readinessPath, isReady, note);
    this.servers.push(await server);
  }

  private async startMetrics(): Promise<void> {
    const { metrics } = this.settings;
    if (metrics === undefined) {
      return;
    }
    const render = (): string => this.metrics.render();
    const note = (message: IncomingMessage): void => this.onMisdirected('metrics', message);
    const server = startMetricsServer(metrics, this.platform.metricsPath, render, note);
    this.servers.push(await server);
  }

  /** A request at a door that is not the callers'; it was told that it was not run. */
  private onMisdirected(door: Door, { method, url, rawHeaders }: IncomingMessage): void {
    const requestId = readRequestId(this.platform.ingressDialect, rawHeaders);
    this.metrics.count('limelead_misdirected_total', 1, { door });
    this.noteMisdirected({ door, requestId, method, path: url });
  }

  /** Whether new connections are welcome. */
  get isReady(): boolean {
    return !this.isStopping && this.knowledge.isComplete;
  }

  /** Takes over new settings; addresses stay as they are until the next start. */
  reload(settings: GatewaySettings): void {
    this.settings = settings;
    this.retries.change(settings.retryBudget);
    this.log.write('settings-reloaded', { failureDomain: settings.failureDomain });
  }

  /** Keeps the last good settings. */
  noteBadSettings(reason: string): void {
    this.log.write('settings-refused', { reason });
  }

  /** A planned stop: nothing that is under way is cut while the grace lasts. */
  async stop(): Promise<void> {
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    const startedAtMs = steadyClock.now();
    const { stopGraceMs } = this.settings;
    const handedOver = Promise.all(this.parts.map((part) => part.handOver()));
    this.log.write('stopping', { underWay: this.frontDoor.underWay, graceMs: stopGraceMs });
    this.frontDoor.beginStop(startedAtMs + stopGraceMs - STOP_RESERVE_MS);
    const elapsed = (): number => steadyClock.now() - startedAtMs;
    while (
      elapsed() < stopGraceMs - STOP_RESERVE_MS &&
      (elapsed() < LEAVE_BALANCER_MS || this.frontDoor.underWay > 0)
    ) {
      await delay(systemTimers, STOP_CHECK_MS);
    }
    this.log.write('stopped', {
      underWay: this.frontDoor.underWay,
      afterMs: Math.round(elapsed()),
    });
    await handedOver;
    this.parts.forEach((part) => part.leave?.());
    this.follower.stop();
    await this.exchange?.stop();
    // Callers go first: a stream that loses its target while it has a caller is sent on.
    await this.frontDoor.close();
    this.connections.closeAll();
    this.servers.forEach((server) => server.close());
    await this.log.flush();
  }

  private get gate(): TargetGate {
    return this.parts.find(({ gate }) => gate !== undefined)?.gate ?? OPEN_GATE;
  }

  private createContext(): ForwardContext {
    const { directory, locality, connections, log } = this;
    const { failureDomain } = this.settings;
    const dialect = this.platform.targetDialect;
    const { backpressure, permits } = this;
    const shared = {
      clock: steadyClock,
      timers: systemTimers,
      random: systemRandom,
      directory,
      backpressure,
      gate: this.gate,
    };
    return {
      ...shared,
      guard: this.quarantine.guard,
      permits,
      failureDomain,
      locality,
      connections,
      dialect,
      slots: new SlotQueue({ ...shared, failureDomain, locality, limit: limitOf, permits }),
      askTarget: (request, receive) =>
        this.exchange?.requestTargetAdvice(request, receive) ?? askNobody(request, receive),
      silence: new SilenceWatch({ ...shared, connections, dialect, log }),
      reading: new ReadingTime(),
      pace: this.pace,
      kept: new KeptPrompts({ ...shared, connections, dialect, log }),
      log,
      metrics: this.metrics,
      observer: tellAll(this.parts.flatMap(({ observer }) => observer ?? [])),
      readTable: () => this.knowledge.routes,
      readKnowledgeAgeMs: () => this.knowledgeAgeMs,
      readConfigurationSource: () => this.knowledge.configurationSource,
      retriesOf: (service) => this.retries.of(service),
      countVms: () => this.countVms(),
    };
  }

  private createFollower(): StoreFollower {
    const { configurationWithinMs, leavingTargetMs } = this.settings;
    return new StoreFollower({
      port: this.platform.store,
      noticeWithinMs: Math.min(configurationWithinMs, leavingTargetMs),
      clock: steadyClock,
      timers: systemTimers,
      random: systemRandom,
      countFollowers: () => Math.max(1, this.exchange?.storeFollowerCount ?? 0),
      mustFollow: () => this.exchange?.mustFollowStore ?? true,
      followsForOthers: () => this.exchange?.isStoreFollower ?? false,
      readRevision: () => this.knowledge.revision,
      othersTry: () => this.exchange?.delegatesStoreRetries ?? false,
      startWaitMs: () => this.exchange?.firstWatchDelayMs ?? 0,
      events: createFollowerEvents({
        log: this.log,
        metrics: this.metrics,
        knowledge: this.knowledge,
        readExchange: () => this.exchange,
        readKnowledgeAgeMs: () => this.knowledgeAgeMs,
      }),
    });
  }

  /** Milliseconds since the store last answered this VM, or one whose news came here. */
  private get knowledgeAgeMs(): number {
    const newestMs = Math.max(
      this.follower.lastAnswerAtMs,
      this.exchange?.storeConfirmedAtMs ?? -Infinity,
    );
    return Math.round(steadyClock.now() - newestMs);
  }

  private onKnowledge(): void {
    this.parts.forEach((part) => part.onKnowledge?.());
    this.exchange?.onSyncStateChanged();
    this.frontDoor.noteKnowledge();
  }

  private countVms(): number {
    return Math.max(LEAST_VMS, this.exchange?.totalVmCount ?? 0);
  }

  private onRepeats(service: string, repeats: number): void {
    this.retries.borrow(service, repeats);
    this.metrics.count('limelead_repeats_borrowed_total', repeats);
    this.log.write('repeats-borrowed', { service, repeats });
  }

  private onNotice({ kind, target }: TargetNotice): void {
    this.log.write(`target-${kind}`, {
      target: target.id,
      service: target.service,
      failureDomain: target.failureDomain,
      isSpot: target.isSpot,
      leavesInMs: target.leavesInMs,
      version: target.version,
    });
    if (kind === 'gone') {
      this.permits.forget(target.id);
    }
    if (kind !== 'joined') {
      this.connections.release(target.id);
      this.pace.forget(target.id);
    }
  }
}

/** A target is sent as many requests as it runs at once. */
function limitOf({ target }: TrackedServiceTarget): number {
  return Math.max(1, target.slots);
}
