/** Targets on real sockets and a recording caller for the tests of this package. */
import createDecisionLog from '@limelead/decision-log';
import type { LimeleadError } from '@limelead/errors';
import { createLocality } from '@limelead/locality';
import createMetrics from '@limelead/metrics';
import { createIsolatedGuard } from '@limelead/quarantine-requests';
import compileRoutes from '@limelead/route-requests';
import { PrioritisedRetryBudget } from '@limelead/spend-retries';
import { TargetConnections } from '@limelead/target-connections';
import { Backpressure } from '@limelead/track-backpressure';
import { TargetDirectory } from '@limelead/track-service-targets';
import {
  noTargetAdvice,
  systemRandom,
  systemTimers,
  type RequestTargetAdvice,
  type IncomingRequest,
  type ServiceTarget,
  type ServingRoute,
} from '@limelead/types';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { AnswerSink } from './answer-sink.js';
import type { AdmittedRequest } from './admitted-request.js';
import type { ForwardContext } from './context.js';
import CachedPromptFinder from './cached-prompt-finder.js';
import SlotQueue from './slot-queue.js';
import PrefillEstimator from './prefill-estimator.js';
import ReadPauses from './read-pauses.js';
import { NO_RELAY } from './request-relay.js';
import { NO_VERSIONS } from './stream-origins.js';
import { NO_RATE_LIMITS, type SendPermits } from './send-permits.js';
import { OPEN_GATE } from './target-gate.js';
import SlownessTracker from './slowness-tracker.js';
import RunStopper from './run-stopper.js';
import SilenceMonitor from './silence-monitor.js';
import dialect from './dialect.fixture.js';

const clock = { now: () => performance.now() };

/** A request as received by a target. */
export interface SeenRequest {
  target: string;
  lastPiece: number;
  copyTo: string;
  from: string;
}

/** Answers a request at a target. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  seen: SeenRequest,
) => void;

/** Formats a piece of a stream. */
export function formatPiece(number: number): string {
  return `id: ${number}\ndata: piece ${number}\n\n`;
}

/** Writes the pieces up to `last` and ends the stream. */
export function streamTo(last: number): Behaviour {
  return (request, response, { lastPiece }) => {
    beginAnswer(request, response);
    for (let number = lastPiece + 1; number <= last; number += 1) {
      response.write(formatPiece(number));
    }
    response.end();
  };
}

/** Writes the pieces up to `last` and calls `follow` after they are sent. */
export function streamThen(last: number, follow: (response: ServerResponse) => void): Behaviour {
  return (request, response, { lastPiece }) => {
    beginAnswer(request, response);
    for (let number = lastPiece + 1; number < last; number += 1) {
      response.write(formatPiece(number));
    }
    response.write(formatPiece(last), () => setImmediate(() => follow(response)));
  };
}

/** Starts a successful answer to the request. */
export function beginAnswer(request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { id: String(request.headers['id']), stamp: 'whole' });
}

/** Records the answer that the caller receives. */
export class RecordingSink implements AnswerSink {
  status = 0;
  body = '';
  waitingBytes = 0;
  /** Bytes of the answer that are held before they are written. */
  heldBytes = 0;
  outcome: 'open' | 'ended' | 'aborted' | 'refused' = 'open';
  error: LimeleadError | undefined;
  private onLeft: () => void = () => undefined;
  private notifyShutdown: () => void = () => undefined;
  private notifyFlushed: () => void = () => undefined;
  private wake: (() => void)[] = [];

  begin(status: number): void {
    this.status = status;
  }

  write(bytes: Buffer): void {
    this.body += bytes.toString();
    this.wake.splice(0).forEach((wake) => wake());
  }

  end(): void {
    this.finish('ended');
  }

  abort(error: LimeleadError): void {
    this.error = error;
    this.finish('aborted');
  }

  refuse(error: LimeleadError): void {
    this.error = error;
    this.finish('refused');
  }

  onFlushed(callback: () => void): void {
    this.notifyFlushed = callback;
  }

  addHeldBytes(bytes: number): void {
    this.heldBytes += bytes;
  }

  /** Simulates a caller that leaves so many bytes unread. */
  setWaitingBytes(bytes: number): void {
    this.waitingBytes = bytes;
    this.notifyFlushed();
  }

  onCallerLeft(callback: () => void): void {
    this.onLeft = callback;
  }

  /** Simulates a caller that disconnects. */
  leave(): void {
    this.onLeft();
  }

  onShutdown(callback: () => void): void {
    this.notifyShutdown = callback;
  }

  /** Simulates a VM that shuts down. */
  shutDown(): void {
    this.notifyShutdown();
  }

  /** Resolves when the condition holds; checked after each write. */
  async until(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await new Promise<void>((resolve) => this.wake.push(resolve));
    }
  }

  get done(): Promise<void> {
    return this.until(() => this.outcome !== 'open');
  }

  private finish(outcome: 'ended' | 'aborted' | 'refused'): void {
    this.outcome = outcome;
    this.wake.splice(0).forEach((wake) => wake());
  }
}

/** A VM that forwards to some targets, and the requests that they receive. */
export class TestBed {
  readonly seen: SeenRequest[] = [];
  /** Sessions whose prompts a target caches, separated by spaces. */
  readonly cachedPrompts = new Map<string, string>();
  readonly directory = new TargetDirectory(clock, {
    hasAnnouncedLeaving: (id) => this.backpressure.isLeaving(id),
  });
  readonly connections = new TargetConnections({
    clock,
    timers: systemTimers,
    connectTimeoutMs: 300,
    maxIdlePerTarget: 4,
  });
  readonly context: ForwardContext;
  private readonly backpressure: Backpressure;
  /** False while the targets answer no probes. */
  answersProbes = true;
  /** Ids of the runs that the targets list, separated by spaces. */
  listedRuns = '';
  /** Status of the answer to a stop; undefined leaves it unanswered. Default: the run ends, if it is there. */
  stopRun = (target: string, runId: string): number | undefined => {
    const run = this.openRuns.get(`${target} ${runId}`);
    run?.destroy();
    return run === undefined ? 404 : 200;
  };
  /** Answers under way, by target and run. */
  private readonly openRuns = new Map<string, ServerResponse>();
  /** Advice of a scheduler; none by default. */
  askTarget: RequestTargetAdvice = noTargetAdvice;
  private readonly servers: Server[] = [];
  private readonly serverOf = new Map<string, Server>();
  private readonly behaviours = new Map<string, Behaviour>();
  private readonly spender = new PrioritisedRetryBudget({
    limits: { ratio: 1, slack: 100, windowMs: 10_000 },
    ...{ clock, timers: systemTimers, random: systemRandom },
    countVms: () => 1,
    onLow: () => undefined,
  });

  private constructor() {
    const log = createDecisionLog({ vm: 'test', clock, output: (_, done) => done() });
    const metrics = createMetrics();
    this.backpressure = new Backpressure({
      ...{ clock, timers: systemTimers, random: { next: () => 0 }, log, metrics },
      isListed: (id) => this.directory.get(id) !== undefined,
      onLeaving: (id) => this.directory.onAnnouncedLeaving(id),
      publish: () => undefined,
      publishBrittle: () => undefined,
    });
    const { backpressure } = this;
    const shared = { clock, timers: systemTimers, directory: this.directory, backpressure };
    const table = compileRoutes({
      version: 1,
      routes: [],
      services: [
        {
          name: 'briefs',
          maxConnections: 10,
          engine: { slots: 2, memoryTokens: 100, copiesRuns: true, stopsRuns: true },
        },
      ],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    const locality = createLocality({ failureDomain: 'north', regionOf: {} });
    this.context = {
      ...shared,
      locality,
      failureDomain: 'north',
      connections: this.connections,
      dialect,
      slots: this.createSlots(NO_RATE_LIMITS),
      gate: OPEN_GATE,
      permits: NO_RATE_LIMITS,
      relay: NO_RELAY,
      origins: NO_VERSIONS,
      guard: createIsolatedGuard({ clock, timers: systemTimers, log, metrics: createMetrics() }),
      requestAdvice: (request, receive) => this.askTarget(request, receive),
      silence: new SilenceMonitor({
        ...{ ...shared, connections: this.connections, dialect, log, metrics },
        random: systemRandom,
      }),
      runStopper: new RunStopper({
        ...{ ...shared, connections: this.connections, dialect, log, metrics },
        findService: (name) => table.findService(name),
      }),
      prefill: new PrefillEstimator(),
      slowness: new SlownessTracker(() => undefined),
      readPauses: new ReadPauses(log, clock),
      cachedPrompts: new CachedPromptFinder({
        ...shared,
        connections: this.connections,
        dialect,
        log,
      }),
      log,
      metrics,
      observer: {},
      readRouteTable: () => table,
      readStoreViewAgeMs: () => 0,
      readConfigurationSource: () => 'store',
      retryBudgetOf: () => this.spender,
    };
  }

  /** Replaces the permits. */
  usePermits(permits: SendPermits): void {
    this.context.permits = permits;
    this.context.slots = this.createSlots(permits);
  }

  private createSlots(permits: SendPermits): SlotQueue {
    const failureDomain = 'north';
    return new SlotQueue({
      clock,
      timers: systemTimers,
      directory: this.directory,
      locality: createLocality({ failureDomain, regionOf: {} }),
      failureDomain,
      limit: ({ target }) => target.slots,
      gate: OPEN_GATE,
      permits,
      backpressure: this.backpressure,
      random: systemRandom,
    });
  }

  /** Starts a target per behaviour, named t1, t2 and so on; t1 is in the failure domain of the VM. */
  static async start(...behaviours: Behaviour[]): Promise<TestBed> {
    const bed = new TestBed();
    const targets: ServiceTarget[] = [];
    for (const [index, behaviour] of behaviours.entries()) {
      const id = `t${index + 1}`;
      bed.behaviours.set(id, behaviour);
      const port = await bed.listen(id);
      const failureDomain = index === 0 ? 'north' : `south-${index}`;
      targets.push({
        id,
        service: 'briefs',
        host: '127.0.0.1',
        port,
        failureDomain,
        slots: 2,
        leaving: false,
      });
    }
    bed.directory.replaceAll(targets);
    return bed;
  }

  /** Targets that received a request, in order. */
  get askedTargets(): string[] {
    return this.seen.map(({ target }) => target);
  }

  async stop(): Promise<void> {
    this.connections.closeAll();
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  /** Ends a target, which then refuses connections; those that are open stay. */
  async stopTarget(id: string): Promise<void> {
    const server = this.serverOf.get(id);
    server?.close();
    server?.closeIdleConnections();
    await new Promise((resolve) => setImmediate(resolve));
  }

  private async listen(id: string): Promise<number> {
    const server = createServer((request, response) => {
      if (request.url === '/probe') {
        if (this.answersProbes) {
          response.end(this.listedRuns);
        }
        return;
      }
      if (request.url === '/stop') {
        const status = this.stopRun(id, String(request.headers['id']));
        if (status !== undefined) {
          response.writeHead(status).end();
        }
        return;
      }
      if (request.url === '/kept') {
        response.end(this.cachedPrompts.get(id) ?? '');
        return;
      }
      const { last, from } = request.headers;
      const seen: SeenRequest = {
        target: id,
        lastPiece: Number(last),
        copyTo: String(request.headers['copy-to']),
        from: String(from),
      };
      this.seen.push(seen);
      const run = `${id} ${String(request.headers['id'])}`;
      this.openRuns.set(run, response);
      response.on('close', () => {
        if (this.openRuns.get(run) === response) {
          this.openRuns.delete(run);
        }
      });
      request.resume();
      this.behaviours.get(id)?.(request, response, seen);
    });
    this.servers.push(server);
    this.serverOf.set(id, server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return (server.address() as AddressInfo).port;
  }
}

/** Creates a request as the front door admits it. */
export function createAdmittedRequest(
  route: Partial<ServingRoute> = {},
  request: Partial<IncomingRequest> = {},
): AdmittedRequest {
  const now = clock.now();
  const wholeRoute: ServingRoute = {
    name: 'route',
    host: 'vans.example',
    pathPrefix: '/a/',
    shares: [{ service: 'briefs', weight: 1 }],
    streaming: true,
    repeatable: true,
    timeoutMs: 5_000,
    objectiveMs: 2_000,
    maxPauseMs: 600,
    maxTargets: 3,
    rank: 1,
    open: true,
    ...route,
  };
  return {
    request: {
      requestId: 'r1',
      method: 'POST',
      path: '/a/1',
      rawHeaders: [],
      body: Buffer.from('prompt'),
      deadlineAtMs: now + 5_000,
      lastPiece: 0,
      affinityKey: 'session',
      promptTokens: 10,
      ...request,
    },
    route: wholeRoute,
    service: 'briefs',
    rank: wholeRoute.rank,
    receivedAtMs: now,
    dueAtMs: now + wholeRoute.timeoutMs,
  };
}
