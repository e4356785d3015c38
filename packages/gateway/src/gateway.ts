/** One process of the HTTP front door. */
import createDecisionLog, { type DecisionLog } from '@limelead/decision-log';
import { StoreFollower, type StorePort } from '@limelead/follow-store';
import {
  PlaceQueue,
  SilenceWatch,
  type ForwardContext,
  type TargetDialect,
} from '@limelead/forward-request';
import { HttpFrontDoor, type IngressDialect } from '@limelead/http-front-door';
import createMetrics, { type Metrics } from '@limelead/metrics';
import RetrySpender from '@limelead/spend-retries';
import { TargetConnections } from '@limelead/target-connections';
import {
  TargetDirectory,
  type TargetChange,
  type TargetNotice,
  type TrackedServiceTarget,
} from '@limelead/track-service-targets';
import {
  delay,
  systemRandom,
  systemTimers,
  type Clock,
  type ServiceTarget,
  type ServingConfiguration,
} from '@limelead/types';
import type { StoreItem } from '@limelead/follow-store';
import type { Server } from 'node:http';
import Knowledge from './knowledge.js';
import { startMetricsServer, startReadinessServer } from './readiness-server.js';
import type { GatewaySettings } from './settings.js';

const CONNECT_TIMEOUT_MS = 250;
const MAX_IDLE_CONNECTIONS = 4;
/** VMs assumed to share the retry budget while nobody told their number. */
const ASSUMED_VMS = 8;
/** Time for the balancer to notice that this VM is not ready any more. */
const LEAVE_BALANCER_MS = 2_500;
/** Part of the grace that is kept for the end of the process. */
const STOP_RESERVE_MS = 500;
const STOP_CHECK_MS = 50;

/** What an item of the store means. */
export type StoreFact =
  | { kind: 'configuration'; configuration: ServingConfiguration }
  | { kind: 'target'; target: ServiceTarget }
  | { kind: 'other' };

/** Reads items of the store in the platform's words. */
export interface StoreDialect {
  read(item: StoreItem): StoreFact;
  /** The id of the target whose item has that key; undefined for other items. */
  readTargetId(key: string): string | undefined;
}

/** What a gateway needs from the platform. */
export interface GatewayPlatform {
  store: StorePort;
  storeDialect: StoreDialect;
  targetDialect: TargetDialect;
  ingressDialect: IngressDialect;
  readinessPath: string;
  metricsPath: string;
}

const steadyClock: Clock = { now: () => performance.now() };

/** Runs one process. */
export default class Gateway {
  readonly log: DecisionLog;
  private readonly metrics: Metrics = createMetrics();
  private readonly directory: TargetDirectory;
  private readonly connections: TargetConnections;
  private readonly knowledge: Knowledge;
  private readonly follower: StoreFollower;
  private readonly frontDoor: HttpFrontDoor;
  private readonly spenders = new Map<string, RetrySpender>();
  private readonly servers: Server[] = [];
  private isStopping = false;

  constructor(
    private settings: GatewaySettings,
    private readonly platform: GatewayPlatform,
  ) {
    this.log = createDecisionLog({ vm: settings.vm, clock: steadyClock });
    this.directory = new TargetDirectory(steadyClock, (notice) => this.onNotice(notice));
    this.connections = new TargetConnections({
      clock: steadyClock,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxIdle: MAX_IDLE_CONNECTIONS,
      onOpened: () => this.metrics.count('limelead_connections_opened_total'),
    });
    this.knowledge = new Knowledge({
      clock: steadyClock,
      log: this.log,
      directory: this.directory,
      onConfiguration: (table) => this.frontDoor.applyLimits(table.limits),
    });
    this.frontDoor = new HttpFrontDoor({
      ...settings.frontDoor,
      context: this.createContext(),
      dialect: platform.ingressDialect,
    });
    this.follower = this.createFollower();
  }

  /** Listens, then learns what there is to know; resolves when it listens. */
  async start(): Promise<void> {
    const { settings, platform } = this;
    await this.frontDoor.listen();
    this.servers.push(
      await startReadinessServer(settings.readiness, platform.readinessPath, () => this.isReady),
    );
    if (settings.metrics !== undefined) {
      this.servers.push(
        await startMetricsServer(settings.metrics, platform.metricsPath, () =>
          this.metrics.render(),
        ),
      );
    }
    this.log.write('started', {
      failureDomain: settings.failureDomain,
      frontDoor: `${settings.frontDoor.host}:${settings.frontDoor.port}`,
      sinceProcessStartMs: Math.round(performance.now()),
    });
    void this.follower.run();
  }

  /** Whether new connections are welcome. */
  get isReady(): boolean {
    return !this.isStopping && this.knowledge.isComplete;
  }

  /** Takes over new settings; addresses stay as they are until the next start. */
  reload(settings: GatewaySettings): void {
    this.settings = settings;
    this.spenders.clear();
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
    this.follower.stop();
    this.frontDoor.close();
    this.connections.closeAll();
    this.servers.forEach((server) => server.close());
    await this.log.flush();
  }

  private createContext(): ForwardContext {
    const { directory, connections, log } = this;
    const { failureDomain } = this.settings;
    const dialect = this.platform.targetDialect;
    const shared = { clock: steadyClock, timers: systemTimers, directory };
    return {
      ...shared,
      failureDomain,
      connections,
      dialect,
      places: new PlaceQueue({ ...shared, failureDomain, limit: limitOf }),
      silence: new SilenceWatch({ ...shared, connections, dialect, log }),
      log,
      metrics: this.metrics,
      readTable: () => this.knowledge.routes,
      retriesOf: (service) => this.retriesOf(service),
      countVms: () => ASSUMED_VMS,
    };
  }

  private createFollower(): StoreFollower {
    const { log, metrics } = this;
    return new StoreFollower({
      port: this.platform.store,
      timers: systemTimers,
      random: systemRandom,
      events: {
        onList: ({ items, revision }) => {
          log.write('store-listed', { items: items.length, revision });
          this.takeList(items);
        },
        onChanges: ({ changes }) => {
          for (const change of changes) {
            if (change.kind === 'put') {
              this.takeItem(change.item);
            } else {
              this.takeRemoval(change.key);
            }
          }
        },
        onLost: (fault) => {
          metrics.count('limelead_store_lost_total', 1, { fault });
          log.write('store-lost', { fault });
        },
        onRegained: () => log.write('store-regained'),
      },
    });
  }

  private takeList(items: StoreItem[]): void {
    const facts = items.map((item) => this.platform.storeDialect.read(item));
    const targets = facts.flatMap((fact) => (fact.kind === 'target' ? [fact.target] : []));
    for (const fact of facts) {
      if (fact.kind === 'configuration') {
        this.knowledge.takeConfiguration(fact.configuration, 'store');
      }
    }
    this.knowledge.takeTargets(targets);
  }

  private takeItem(item: StoreItem): void {
    const fact = this.platform.storeDialect.read(item);
    if (fact.kind === 'configuration') {
      this.knowledge.takeConfiguration(fact.configuration, 'store');
    } else if (fact.kind === 'target') {
      this.knowledge.takeTargetChanges([{ kind: 'put', target: fact.target }]);
    }
  }

  private takeRemoval(key: string): void {
    const id = this.platform.storeDialect.readTargetId(key);
    if (id !== undefined) {
      const change: TargetChange = { kind: 'gone', id };
      this.knowledge.takeTargetChanges([change]);
    }
  }

  private retriesOf(service: string): RetrySpender {
    const known = this.spenders.get(service);
    const spender = known ?? new RetrySpender(this.settings.retryBudget);
    this.spenders.set(service, spender);
    return spender;
  }

  private onNotice({ kind, target }: TargetNotice): void {
    this.log.write(`target-${kind}`, {
      target: target.id,
      service: target.service,
      failureDomain: target.failureDomain,
    });
    if (kind !== 'joined') {
      this.connections.release(target.id);
    }
  }
}

/** A target is sent as many requests as it runs at once. */
function limitOf({ target }: TrackedServiceTarget): number {
  return Math.max(1, target.slots);
}
