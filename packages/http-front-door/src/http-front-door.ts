/** The HTTP server that callers meet, and the filters that each request passes. */
import { createLineLimit, type LimitedLines, type LogFields } from '@limelead/decision-log';
import { describeThrown, LimeleadError, toLimeleadError } from '@limelead/errors';
import {
  forwardCall,
  forwardStream,
  type AdmittedRequest,
  type ForwardContext,
} from '@limelead/forward-request';
import { chooseService, type RouteTable } from '@limelead/route-requests';
import type { CallerLimits, Millis, ServingRoute } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import checkHead from './check-head.js';
import describeMalformed, { readBrokenHead, type ParserError } from './describe-malformed.js';
import HeldArrivals, { shareOf } from './held-arrivals.js';
import { readRequestId, type IngressDialect, type IngressFacts } from './ingress-dialect.js';
import readTarget, { type RequestTarget } from './request-target.js';
import readBody, { BodyBudget } from './read-body.js';
import ResponseSink from './response-sink.js';

/** Largest head that the parser takes; the configured limit is checked behind it. */
const PARSER_MAX_HEADER_BYTES = 64 * 1024;
const CHECK_INTERVAL_MS = 500;
/** Waiting connections that the system keeps for this process. */
const BACKLOG = 511;
/** Bytes of bodies that one VM holds at once, unless its owner says otherwise. */
const DEFAULT_MAX_HELD_BYTES = 64 * 1024 * 1024;
/**
 * Time that a stream likely takes; with less left before a stop it is refused. A
 * call that may be held for less is refused later.
 */
const STREAM_TIME_MS = 5_500;

/** What the front door needs. */
export interface HttpFrontDoorOptions {
  host: string;
  port: number;
  context: ForwardContext;
  dialect: IngressDialect;
  /** Bytes of bodies that this VM holds at once. */
  maxHeldBytes?: number;
}

/** A request before the filters. */
interface Arrival {
  message: IncomingMessage;
  response: ServerResponse;
  sink: ResponseSink;
  receivedAtMs: Millis;
}

/** A request in the middle of the filters, with the configuration that it passes them by. */
interface RoutedArrival extends Arrival {
  table: RouteTable;
  target: RequestTarget;
}

/** Serves callers. */
export default class HttpFrontDoor {
  private readonly server: Server;
  private isStopping = false;
  /** Steady time by which everything has to be finished once this VM is stopping. */
  private finishByMs: Millis = Infinity;
  private open = 0;
  /** Called when no request is under way any more. */
  private onIdle: () => void = () => undefined;
  private readonly bodies: BodyBudget;
  private readonly held: HeldArrivals;
  private readonly noteMalformed: LimitedLines;

  constructor(private readonly options: HttpFrontDoorOptions) {
    const { log, clock } = options.context;
    this.noteMalformed = createLineLimit(log, clock, 'request-malformed');
    this.held = new HeldArrivals(options.context.timers);
    this.bodies = new BodyBudget(options.maxHeldBytes ?? DEFAULT_MAX_HELD_BYTES);
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => this.onRequest(message, response),
    );
    // The runtime would answer 417 by itself, without a line; what is expected is the body's matter.
    this.server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) =>
      this.onRequest(message, response),
    );
    this.server.on('clientError', (error: ParserError, socket: Socket) =>
      this.onMalformed(error, socket),
    );
  }

  /** The port that it listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Requests under way. */
  get underWay(): number {
    return this.open;
  }

  /** Bytes of bodies held now. */
  get heldBodyBytes(): number {
    return this.bodies.heldBytes;
  }

  /** Begins to take connections. */
  listen(): Promise<void> {
    const { host, port } = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
  }

  /** Takes over the limits of a new configuration. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** A configuration may be known now: requests that waited for one go on. */
  noteKnowledge(): void {
    if (this.held.size > 0 && this.options.context.readRouteTable() !== undefined) {
      this.held.releaseAll();
    }
  }

  /**
   * From now on each answer ends its connection, and streams that would likely
   * not be whole by the given time are refused.
   */
  beginStop(finishByMs: Millis): void {
    this.isStopping = true;
    this.finishByMs = finishByMs;
    this.held.releaseAll();
  }

  /** Ends everything; resolves when every request knows that its caller is gone. */
  close(): Promise<void> {
    const ended = new Promise<void>((resolve) => (this.onIdle = resolve));
    this.server.close();
    this.server.closeAllConnections();
    return this.open === 0 ? Promise.resolve() : ended;
  }

  private onRequest(message: IncomingMessage, response: ServerResponse): void {
    const { context } = this.options;
    this.open += 1;
    response.once('close', () => this.onEnded());
    const sink = new ResponseSink(message, response, {
      isStopping: () => this.isStopping,
      onRefused: (error, status) => this.noteRefusal(message, error, status),
    });
    const arrival: Arrival = { message, response, sink, receivedAtMs: context.clock.now() };
    this.guard(arrival, () => {
      if (context.readRouteTable() === undefined && !this.isStopping) {
        this.hold(arrival);
      } else {
        this.route(arrival);
      }
    });
  }

  /** A fault of this program ends the request that met it, not the others. */
  private guard({ sink }: Arrival, run: () => void): void {
    const { log, metrics } = this.options.context;
    try {
      run();
    } catch (thrown) {
      metrics.count('limelead_faults_total', 1, { boundary: 'request' });
      log.write('request-failed', { reason: describeThrown(thrown) });
      sink.refuse(toLimeleadError(thrown));
    }
  }

  private onEnded(): void {
    this.open -= 1;
    if (this.open === 0) {
      this.onIdle();
    }
  }

  private hold(arrival: Arrival): void {
    const forget = this.held.hold(this.readWaitMs(arrival), () => {
      this.noteHeld(arrival);
      this.guard(arrival, () => this.route(arrival));
    });
    arrival.response.once('close', forget);
  }

  private route(arrival: Arrival): void {
    const { clock, readRouteTable } = this.options.context;
    const table = readRouteTable();
    if (table !== undefined) {
      this.filter({ ...arrival, table, target: readTarget(arrival.message) });
      return;
    }
    const heldMs = clock.now() - arrival.receivedAtMs;
    const waitMs = this.readWaitMs(arrival);
    arrival.sink.refuse(
      new LimeleadError('store-unavailable', 'no configuration is known yet', {
        retryAfterMs: Math.ceil(shareOf(waitMs && Math.max(0, waitMs - heldMs))),
      }),
    );
  }

  /** Milliseconds that the caller waits, where its head can be read and says so. */
  private readWaitMs({ message }: Arrival): Millis | undefined {
    const facts = this.options.dialect.readFacts(message.rawHeaders);
    return E.isRight(facts) ? facts.right.waitMs : undefined;
  }

  private filter(arrival: RoutedArrival): void {
    const { target, sink, table } = arrival;
    const fault = checkHead(target, table.limits);
    if (fault !== undefined) {
      sink.refuse(fault);
      return;
    }
    const facts = this.options.dialect.readFacts(target.rawHeaders);
    if (E.isLeft(facts)) {
      sink.refuse(facts.left);
      return;
    }
    const route = table.findRoute(target.host, target.path);
    if (route === undefined) {
      sink.refuse(new LimeleadError('not-found', 'no route takes this host and path'));
      return;
    }
    this.authenticate(arrival, facts.right, route);
  }

  private authenticate(arrival: RoutedArrival, facts: IngressFacts, route: ServingRoute): void {
    const authentication = arrival.table.authenticate(route, facts.key);
    if (authentication.kind === 'unknown-key') {
      arrival.sink.refuse(new LimeleadError('unauthenticated', 'the key is not known'));
      return;
    }
    const caller = authentication.kind === 'known' ? authentication.caller : undefined;
    const { limits } = arrival.table;
    const giveBack = readBody(
      arrival.message,
      { maxBytes: limits.maxBodyBytes, pauseMs: limits.idleTimeoutMs },
      this.bodies,
      this.options.context.timers,
      {
        onRefused: (error) => arrival.sink.refuse(error),
        onBody: (body) =>
          this.guard(arrival, () =>
            this.admit(arrival, facts, route, {
              body,
              organisation: caller?.organisation,
              rank: caller?.rank ?? route.rank,
            }),
          ),
      },
    );
    arrival.response.once('close', giveBack);
  }

  private admit(
    { message, target, sink, receivedAtMs }: RoutedArrival,
    facts: IngressFacts,
    route: ServingRoute,
    admission: { body: Buffer; organisation?: string; rank: number },
  ): void {
    if (this.finishByMs - receivedAtMs < timeToAnswer(route)) {
      sink.refuse(new LimeleadError('shutting-down', 'this VM stops before the answer is whole'));
      return;
    }
    const service = chooseService(route, facts.requestId);
    if (service === undefined) {
      sink.refuse(new LimeleadError('no-target', 'the route has no service'));
      return;
    }
    const deadlineAtMs = receivedAtMs + (facts.waitMs ?? route.timeoutMs);
    const admitted: AdmittedRequest = {
      request: {
        requestId: facts.requestId,
        method: message.method ?? 'GET',
        path: target.path,
        rawHeaders: target.rawHeaders,
        body: admission.body,
        deadlineAtMs,
        lastPiece: facts.lastPiece,
        affinityKey: facts.affinityKey === '' ? facts.requestId : facts.affinityKey,
        promptTokens: facts.promptTokens,
      },
      route,
      service,
      organisation: admission.organisation,
      rank: admission.rank,
      receivedAtMs,
      dueAtMs: Math.min(deadlineAtMs, receivedAtMs + route.timeoutMs),
    };
    const forward = route.streaming ? forwardStream : forwardCall;
    forward(this.options.context, admitted, sink);
  }

  private noteHeld({ message, receivedAtMs }: Arrival): void {
    const { clock, log, metrics, readRouteTable } = this.options.context;
    const heldMs = Math.round(clock.now() - receivedAtMs);
    metrics.recordMs('limelead_held_for_configuration_ms', heldMs);
    log.write('request-held', {
      requestId: readRequestId(this.options.dialect, message.rawHeaders),
      heldMs,
      configuration: readRouteTable()?.version,
    });
  }

  private noteRefusal(message: IncomingMessage, error: LimeleadError, status: number): void {
    const { log, metrics } = this.options.context;
    metrics.count('limelead_refused_total', 1, { kind: error.kind });
    log.write('request-refused', {
      requestId: readRequestId(this.options.dialect, message.rawHeaders),
      kind: error.kind,
      status,
      reason: error.message,
      ...this.describeKnowledge(),
    });
  }

  /** What decides now: which configuration, who told it, and how old knowledge is. */
  private describeKnowledge(): LogFields {
    const { readRouteTable, readConfigurationSource, readKnowledgeAgeMs } = this.options.context;
    return {
      configuration: readRouteTable()?.version,
      source: readConfigurationSource(),
      knowledgeAgeMs: readKnowledgeAgeMs(),
    };
  }

  /** Bytes that are no request, too much of a head, or one that comes too slowly. */
  private onMalformed(error: ParserError, socket: Socket): void {
    const { status, text } = describeMalformed(error.code);
    this.options.context.metrics.count('limelead_malformed_total', 1, { status: String(status) });
    const { firstLine, rawHeaders } = readBrokenHead(error.rawPacket);
    this.noteMalformed({
      requestId: readRequestId(this.options.dialect, rawHeaders),
      status,
      reason: error.code,
      firstLine,
      ...this.describeKnowledge(),
    });
    if (socket.writable && error.code !== 'ECONNRESET') {
      socket.end(`HTTP/1.1 ${status} ${text}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    } else {
      socket.destroy();
    }
  }
}

/** Time in which an answer on that route is whole, or its final answer is given, in milliseconds. */
function timeToAnswer({ streaming, timeoutMs }: ServingRoute): Millis {
  return streaming ? STREAM_TIME_MS : Math.min(timeoutMs, STREAM_TIME_MS);
}
