/** A front door with one target, for its tests. */
import createDecisionLog from '@limelead/decision-log';
import type { ForwardContext } from '@limelead/forward-request';
import {
  CachedPromptFinder,
  NO_BACKPRESSURE,
  NO_RATE_LIMITS,
  NO_RELAY,
  NO_VERSIONS,
  OPEN_GATE,
  SlotQueue,
  PrefillEstimator,
  ReadPauses,
  RunStopper,
  SilenceMonitor,
  SlownessTracker,
} from '@limelead/forward-request';
import { createLocality } from '@limelead/locality';
import createMetrics from '@limelead/metrics';
import { createIsolatedGuard } from '@limelead/quarantine-requests';
import compileRoutes, { type RouteTable } from '@limelead/route-requests';
import { RetryBudgets } from '@limelead/spend-retries';
import { TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import {
  noTargetAdvice,
  systemRandom,
  systemTimers,
  type ServingConfiguration,
} from '@limelead/types';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { configuration, ingress, targets } from './front-door.fixture.js';
import { HttpFrontDoor } from './index.js';

export const clock = { now: () => performance.now() };

/** Starts a VM that has no configuration yet. */
export const NO_CONFIGURATION = 'no-configuration';

/** Limit on request bodies in memory in these tests. */
const MAX_BUFFERED_BODY_BYTES = 2_500;

interface Arrived {
  path: string;
  body: string;
  organisation: string;
}

/** A front door with one target that echoes the body. */
export default class TestBed {
  readonly arrived: Arrived[] = [];
  /** Requests that were passed to a forwarder. */
  admissions = 0;
  /** Heads that the target has received. */
  arrivals = 0;
  /** The target reads bodies once this resolves. */
  mayRead = Promise.resolve();
  readOn = (): void => undefined;
  readonly metrics = createMetrics();
  door!: HttpFrontDoor;
  /** The configuration in force. */
  table: RouteTable | undefined;
  private target!: Server;
  private readonly connections = new TargetConnections({
    clock,
    timers: systemTimers,
    connectTimeoutMs: 300,
    maxIdlePerTarget: 2,
  });
  private readonly sockets: Socket[] = [];
  private text = '';

  static async start(
    known: ServingConfiguration | typeof NO_CONFIGURATION = configuration,
  ): Promise<TestBed> {
    const bed = new TestBed();
    bed.table = known === NO_CONFIGURATION ? undefined : compileRoutes(known);
    bed.target = createServer((request, response) => {
      bed.arrivals += 1;
      let body = '';
      void bed.mayRead.then(() => request.on('data', (chunk) => (body += String(chunk))));
      request.on('end', () => {
        const organisation = String(request.headers['organisation']);
        bed.arrived.push({ path: request.url ?? '', body, organisation });
        response.writeHead(200, { id: String(request.headers['id']) }).end(`got ${body}`);
      });
    });
    await new Promise<void>((resolve) => bed.target.listen(0, '127.0.0.1', resolve));
    const { port } = bed.target.address() as AddressInfo;
    const directory = new TargetDirectory(clock);
    const where = { host: '127.0.0.1', port, failureDomain: 'north' };
    directory.replaceAll([{ id: 't1', service: 'calls', ...where, slots: 4, leaving: false }]);
    bed.door = new HttpFrontDoor({
      host: '127.0.0.1',
      port: 0,
      context: bed.createContext(directory),
      dialect: ingress,
      maxBufferedBodyBytes: MAX_BUFFERED_BODY_BYTES,
    });
    bed.door.applyLimits(configuration.limits);
    await bed.door.listen();
    return bed;
  }

  /** Makes the target read no body until `readOn` is called. */
  holdBodies(): void {
    this.mayRead = new Promise((resolve) => (this.readOn = resolve));
  }

  /** The parsed log lines so far. */
  readLines(): Record<string, unknown>[] {
    const lines = this.text.split('\n').filter((line) => line !== '');
    return lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Sends raw bytes and returns what arrives until the text matches or the connection ends. */
  exchange(bytes: string, until?: RegExp): Promise<string> {
    return new Promise((resolve) => {
      let text = '';
      const socket = connect(this.door.port, '127.0.0.1', () => socket.write(bytes));
      this.sockets.push(socket);
      socket.on('error', () => resolve(text));
      socket.on('close', () => resolve(text));
      socket.on('data', (chunk) => {
        text += chunk.toString();
        if (until?.test(text)) {
          resolve(text);
        }
      });
    });
  }

  async stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await this.door.close();
    this.connections.closeAll();
    this.target.closeAllConnections();
    await new Promise((resolve) => this.target.close(resolve));
  }

  private createContext(directory: TargetDirectory): ForwardContext {
    const output = (text: string, done: () => void): void => {
      this.text += text;
      done();
    };
    const log = createDecisionLog({ vm: 'test', clock, output });
    const shared = {
      clock,
      timers: systemTimers,
      directory,
      random: systemRandom,
      backpressure: NO_BACKPRESSURE,
    };
    const limits = { ratio: 1, slack: 10, windowMs: 1_000 };
    const budgets = new RetryBudgets({ ...shared, limits, countVms: () => 1, onLow: () => {} });
    const { connections, metrics } = this;
    const locality = createLocality({ failureDomain: 'north', regionOf: {} });
    return {
      ...shared,
      locality,
      failureDomain: 'north',
      connections,
      dialect: targets,
      requestAdvice: noTargetAdvice,
      slots: new SlotQueue({
        ...{ ...shared, failureDomain: 'north', locality },
        limit: () => 4,
        gate: OPEN_GATE,
        permits: NO_RATE_LIMITS,
      }),
      gate: OPEN_GATE,
      permits: NO_RATE_LIMITS,
      guard: createIsolatedGuard({ clock, timers: systemTimers, log, metrics }),
      silence: new SilenceMonitor({ ...shared, connections, dialect: targets, log, metrics }),
      runStopper: new RunStopper({
        ...{ ...shared, connections, dialect: targets, log, metrics },
        findService: () => undefined,
      }),
      prefill: new PrefillEstimator(),
      slowness: new SlownessTracker(() => undefined),
      relay: NO_RELAY,
      origins: NO_VERSIONS,
      readPauses: new ReadPauses(log, clock),
      cachedPrompts: new CachedPromptFinder({ ...shared, connections, dialect: targets, log }),
      log,
      metrics,
      observer: { onAdmitted: () => (this.admissions += 1) },
      readRouteTable: () => this.table,
      readStoreViewAgeMs: () => 0,
      readConfigurationSource: () => 'store',
      retryBudgetOf: (service) => budgets.forService(service),
    };
  }
}

/** The head of a call with a valid key. */
export function head(lines: string[] = [], path = '/call/1'): string {
  return (
    [`POST ${path} HTTP/1.1`, 'Host: vans.example', 'Id: r1', 'Key: good', ...lines].join('\r\n') +
    '\r\n'
  );
}

export const GOOD = head(['Content-Length: 2']) + '\r\nhi';
export const ANSWERED = /got hi/;
