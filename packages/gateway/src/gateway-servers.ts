/** Opens the servers of one VM and records requests that reach the wrong one. */
import { createRateLimitedLog, type RateLimitedLog } from '@limelead/decision-log';
import { readRequestId } from '@limelead/http-front-door';
import type { IncomingMessage, Server } from 'node:http';
import type { FleetComponentContext } from './fleet-component.js';
import listenWithRetry from './listen-with-retry.js';
import { startMetricsServer, startReadinessServer } from './readiness-server.js';

/** A server, as log lines and metrics name it. */
type Listener = 'front-door' | 'readiness' | 'metrics' | 'peers';

/** Servers that other components open, and the state that the readiness server reports. */
export interface OpenServers {
  frontDoor(): Promise<void>;
  peers(): Promise<void>;
  isReady(): boolean;
}

/** The servers of one VM. */
export default class GatewayServers {
  private readonly servers: Server[] = [];
  private readonly logMisdirected: RateLimitedLog;

  constructor(private readonly context: FleetComponentContext) {
    const { log, clock } = context;
    this.logMisdirected = createRateLimitedLog(log, clock, 'request-misdirected');
  }

  /** Opens all servers, one after the other. */
  async start({ frontDoor, peers, isReady }: OpenServers): Promise<void> {
    await this.listen('front-door', frontDoor);
    await this.listen('readiness', () => this.startReadiness(isReady));
    await this.listen('metrics', () => this.startMetrics());
    await this.listen('peers', peers);
  }

  /** Closes the readiness and metrics servers. */
  close(): void {
    this.servers.forEach((server) => server.close());
  }

  /** Counts and logs a request that reached the wrong server; its answer says that it was not run. */
  onMisdirected(listener: Listener, { method, url, rawHeaders }: IncomingMessage): void {
    const { platform, metrics } = this.context;
    const requestId = readRequestId(platform.ingressDialect, rawHeaders);
    metrics.count('limelead_misdirected_total', 1, { door: listener });
    this.logMisdirected({ door: listener, requestId, method, path: url });
  }

  private listen<Listening>(
    listener: Listener,
    open: () => Promise<Listening>,
  ): Promise<Listening> {
    const { log, timers } = this.context;
    return listenWithRetry({ log, timers }, listener, open);
  }

  private async startReadiness(isReady: () => boolean): Promise<void> {
    const { settings, platform } = this.context;
    const server = startReadinessServer(
      settings.readiness,
      platform.readinessPath,
      isReady,
      (message) => this.onMisdirected('readiness', message),
    );
    this.servers.push(await server);
  }

  private async startMetrics(): Promise<void> {
    const { settings, platform, metrics } = this.context;
    if (settings.metrics === undefined) {
      return;
    }
    const server = startMetricsServer(
      settings.metrics,
      platform.metricsPath,
      () => metrics.render(),
      (message) => this.onMisdirected('metrics', message),
    );
    this.servers.push(await server);
  }
}
