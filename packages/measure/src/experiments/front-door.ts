/** Compares the CPU cost of the HTTP front door with a bare relay on the same libraries. */
import {
  CachedPromptFinder,
  filterEndToEndHeaders,
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
  type ForwardContext,
  NO_STOPS,
  type TargetDialect,
} from '@limelead/forward-request';
import createDecisionLog from '@limelead/decision-log';
import { HttpFrontDoor, type IngressDialect } from '@limelead/http-front-door';
import { createLocality } from '@limelead/locality';
import createMetrics from '@limelead/metrics';
import { createIsolatedGuard } from '@limelead/quarantine-requests';
import compileRoutes from '@limelead/route-requests';
import { PrioritisedRetryBudget } from '@limelead/spend-retries';
import { TargetConnections } from '@limelead/target-connections';
import { TargetDirectory } from '@limelead/track-service-targets';
import {
  noTargetAdvice,
  NO_DIRECTIVES,
  systemRandom,
  systemTimers,
  type ServingRoute,
} from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { fork, type ChildProcess } from 'node:child_process';
import { createServer, request as sendRequest, Agent, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { Client } from 'undici';
import ResultTable, { type Experiment } from '../experiment.js';

const CHILD = fileURLToPath(new URL('../../bin/front-door-child.js', import.meta.url));
const HOST = '127.0.0.1';
const CALLS = 4_000;
const STREAMS = 300;
const PIECES_PER_STREAM = 140;
const CONCURRENCY = 16;
const clock = { now: () => performance.now() };

/** Server that a child process runs. */
export type FrontDoorRole = 'target' | 'front door' | 'bare relay';

/** Runs one server: sends its port to the parent, and its CPU time and memory on each message. */
export async function runFrontDoorChild(role: string, targetPort: number): Promise<void> {
  const port = await startRole(role as FrontDoorRole, targetPort);
  process.on('message', () => {
    const { user, system } = process.cpuUsage();
    process.send?.({ cpuMs: (user + system) / 1_000, residentMb: process.memoryUsage.rss() / 1e6 });
  });
  process.send?.({ port });
}

async function startRole(role: FrontDoorRole, targetPort: number): Promise<number> {
  switch (role) {
    case 'target':
      return startTarget();
    case 'bare relay':
      return startBareRelay(targetPort);
    case 'front door':
      return startFrontDoor(targetPort);
  }
}

/** Answers calls at once and streams one piece every 5 ms. */
async function startTarget(): Promise<number> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { id: String(request.headers['id']) });
    if (request.url === '/call/1') {
      response.end('x'.repeat(800));
      return;
    }
    let pieceNumber = 0;
    const writeNextPiece = (): void => {
      pieceNumber += 1;
      response.write(`id: ${pieceNumber}\ndata: ${'x'.repeat(40)}\n\n`);
      if (pieceNumber === PIECES_PER_STREAM) {
        response.end();
      } else {
        setTimeout(writeNextPiece, 5);
      }
    };
    writeNextPiece();
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return (server.address() as AddressInfo).port;
}

/** Relays each request over its own connection, as the front door does, without decisions. */
async function startBareRelay(targetPort: number): Promise<number> {
  const idleClients: Client[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const client =
        idleClients.pop() ?? new Client(`http://${HOST}:${targetPort}`, { pipelining: 1 });
      client.dispatch(
        {
          method: 'POST',
          path: request.url ?? '/',
          headers: ['host', 'x', 'id', String(request.headers['id'])],
          body: Buffer.concat(chunks),
        },
        {
          onRequestStart: () => undefined,
          onResponseStart: (_, status) => void response.writeHead(status),
          onResponseData: (_, chunk) => void response.write(chunk),
          onResponseEnd: () => {
            idleClients.push(client);
            response.end();
          },
          onResponseError: () => response.destroy(),
        },
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return (server.address() as AddressInfo).port;
}

async function startFrontDoor(targetPort: number): Promise<number> {
  const directory = new TargetDirectory(clock);
  const location = { host: HOST, port: targetPort, failureDomain: 'd1', leaving: false };
  directory.replaceAll([{ ...location, id: 't1', service: 's', slots: 1_000 }]);
  const frontDoorServer = new HttpFrontDoor({
    host: HOST,
    port: 0,
    context: createContext(directory),
    dialect: ingressDialect,
  });
  await frontDoorServer.listen();
  return frontDoorServer.port;
}

function createContext(directory: TargetDirectory): ForwardContext {
  const log = createDecisionLog({ vm: 'vm-1', clock, output: (_, done) => done() });
  const shared = {
    clock,
    timers: systemTimers,
    directory,
    random: systemRandom,
    backpressure: NO_BACKPRESSURE,
  };
  const connections = new TargetConnections({
    clock,
    timers: systemTimers,
    connectTimeoutMs: 1_000,
    maxIdlePerTarget: 64,
  });
  const routeTable = compileRoutes({
    version: 1,
    routes: [createRoute('/call/', false), createRoute('/stream/', true)],
    services: [{ name: 's', maxConnections: 1_000 }],
    organisations: [{ name: 'o', keys: ['k'] }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1e6,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 9_000,
    },
  });
  const retryBudget = new PrioritisedRetryBudget({
    limits: { ratio: 1, slack: 1e6, windowMs: 10_000 },
    ...{ clock, timers: systemTimers, random: systemRandom },
    countVms: () => 1,
    onLow: () => undefined,
  });
  const locality = createLocality({ failureDomain: 'd1', regionOf: {} });
  return {
    ...shared,
    failureDomain: 'd1',
    locality,
    connections,
    dialect,
    requestAdvice: noTargetAdvice,
    slots: new SlotQueue({
      ...{ ...shared, failureDomain: 'd1', locality },
      limit: () => 1_000,
      gate: OPEN_GATE,
      permits: NO_RATE_LIMITS,
    }),
    gate: OPEN_GATE,
    permits: NO_RATE_LIMITS,
    guard: createIsolatedGuard({ clock, timers: systemTimers, log, metrics: createMetrics() }),
    silence: new SilenceMonitor({ ...shared, connections, dialect, log, metrics: createMetrics() }),
    runStopper: new RunStopper({
      ...{ ...shared, connections, dialect, log, metrics: createMetrics() },
      findService: () => undefined,
    }),
    prefill: new PrefillEstimator(),
    slowness: new SlownessTracker(() => undefined),
    relay: NO_RELAY,
    origins: NO_VERSIONS,
    readPauses: new ReadPauses(log, clock),
    cachedPrompts: new CachedPromptFinder({ ...shared, connections, dialect, log }),
    log,
    metrics: createMetrics(),
    observer: {},
    readRouteTable: () => routeTable,
    readStoreViewAgeMs: () => 0,
    readConfigurationSource: () => 'store',
    retryBudgetOf: () => retryBudget,
  };
}

function createRoute(pathPrefix: string, streaming: boolean): ServingRoute {
  return {
    name: pathPrefix,
    host: 'x',
    pathPrefix,
    shares: [{ service: 's', weight: 1 }],
    streaming,
    repeatable: true,
    timeoutMs: 60_000,
    objectiveMs: 30_000,
    maxPauseMs: 30_000,
    maxTargets: 2,
    rank: 1,
    open: false,
  };
}

const ingressDialect: IngressDialect = {
  parseHeaders(rawHeaders) {
    const readHeader = (name: string): string => rawHeaders[rawHeaders.indexOf(name) + 1] ?? '';
    return E.right({
      requestId: readHeader('id'),
      key: readHeader('key'),
      lastPiece: 0,
      affinityKey: '',
      promptTokens: 0,
    });
  },
  progressHeaders: { timeoutMs: 'timeout', lastPiece: 'last', firstAttemptId: 'first-attempt' },
};

const REMOVED_HEADERS: ReadonlySet<string> = new Set(['key', 'content-length']);

const dialect: TargetDialect = {
  composeCall: ({ request }) => ({
    method: request.method,
    path: request.path,
    headers: filterEndToEndHeaders(request.rawHeaders, REMOVED_HEADERS),
    body: request.body,
  }),
  readAnswer: (request, { headers }) => ({
    isForRequest: headers.get('id') === request.requestId,
    notRun: false,
    isOtherTarget: false,
    directives: NO_DIRECTIVES,
  }),
  ...NO_STOPS,
  composeProbe: () => ({ method: 'GET', path: '/call/1', headers: [], body: Buffer.alloc(0) }),
  readProbe: () => undefined,
  composeCacheQuery: () => ({
    method: 'GET',
    path: '/call/1',
    headers: [],
    body: Buffer.alloc(0),
  }),
  readCachedPrompts: () => new Set(),
};

/** A server in a child process. */
class ChildServer {
  private constructor(
    private readonly process: ChildProcess,
    readonly port: number,
  ) {}

  static async start(role: FrontDoorRole, targetPort: number): Promise<ChildServer> {
    const child = fork(CHILD, [role, String(targetPort)]);
    const { port } = await nextMessage<{ port: number }>(child);
    return new ChildServer(child, port);
  }

  async readCost(): Promise<{ cpuMs: number; residentMb: number }> {
    this.process.send('cost');
    return nextMessage(this.process);
  }

  stop(): void {
    this.process.kill();
  }
}

function nextMessage<Message>(child: ChildProcess): Promise<Message> {
  return new Promise((resolve) => child.once('message', (message) => resolve(message as Message)));
}

async function sendMany(port: number, path: string, count: number): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: CONCURRENCY });
  let next = 0;
  const runWorker = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      await sendOne(port, path, `r${next}`, agent);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker));
  agent.destroy();
}

function sendOne(port: number, path: string, id: string, agent: Agent): Promise<void> {
  return new Promise((resolve, reject) => {
    const headers = { host: 'x', id, key: 'k' };
    const options = { host: HOST, port, path, method: 'POST', headers, agent };
    const request = sendRequest(options, (response: IncomingMessage) => {
      if (response.statusCode !== 200) {
        reject(new Error(`status ${response.statusCode}`));
      }
      response.resume();
      response.on('end', resolve);
    });
    request.on('error', reject);
    request.end('x'.repeat(600));
  });
}

async function measure(table: ResultTable, name: FrontDoorRole, targetPort: number): Promise<void> {
  const child = await ChildServer.start(name, targetPort);
  // Warms up the JIT compiler.
  await sendMany(child.port, '/call/1', CALLS / 4);
  await sendMany(child.port, '/stream/1', STREAMS / 10);
  const start = await child.readCost();
  await sendMany(child.port, '/call/1', CALLS);
  const afterCalls = await child.readCost();
  await sendMany(child.port, '/stream/1', STREAMS);
  const afterStreams = await child.readCost();
  child.stop();
  const streamMs = afterStreams.cpuMs - afterCalls.cpuMs;
  table.add(name, {
    'ms per call': (afterCalls.cpuMs - start.cpuMs) / CALLS,
    'ms per stream': streamMs / STREAMS,
    'microseconds per piece': (streamMs * 1_000) / (STREAMS * PIECES_PER_STREAM),
    'resident MB': afterStreams.residentMb,
  });
}

/** Measures both relays with the same target, one after the other. */
const frontDoor: Experiment = {
  name: 'front-door',
  async run({ seeds }) {
    const table = new ResultTable();
    for (const _ of seeds) {
      const target = await ChildServer.start('target', 0);
      await measure(table, 'front door', target.port);
      await measure(table, 'bare relay', target.port);
      target.stop();
    }
    return {
      name: 'front-door',
      question:
        'What does a call, a stream and a piece cost in the HTTP front door, against a relay on the same libraries that decides nothing?',
      setting: `one process each for target and relay; ${CALLS} calls of 800 bytes, then ${STREAMS} streams of ${PIECES_PER_STREAM} pieces, ${CONCURRENCY} at a time`,
      columns: ['ms per call', 'ms per stream', 'microseconds per piece', 'resident MB'],
      baseline: 'bare relay',
      rows: table.list(),
    };
  },
};

export default frontDoor;
