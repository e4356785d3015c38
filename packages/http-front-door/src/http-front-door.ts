/** The HTTP server that callers meet, and the filters that each request passes. */
import { LimeleadError } from '@limelead/errors';
import {
  forwardCall,
  forwardStream,
  type AdmittedRequest,
  type ForwardContext,
} from '@limelead/forward-request';
import { chooseShare, type RouteTable } from '@limelead/route-requests';
import type { CallerLimits, Millis, ServingRoute } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { IngressDialect, IngressFacts } from './ingress-dialect.js';
import readBody, { BodyBudget } from './read-body.js';
import ResponseSink from './response-sink.js';

/** Largest head that the parser takes; the configured limit is checked behind it. */
const PARSER_MAX_HEADER_BYTES = 64 * 1024;
const CHECK_INTERVAL_MS = 500;
/** Waiting connections that the system keeps for this process. */
const BACKLOG = 511;
/** Time to wait before trying again while no configuration is known, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 300;
/** Bytes of bodies that one VM holds at once, unless its owner says otherwise. */
const DEFAULT_MAX_HELD_BYTES = 64 * 1024 * 1024;
/**
 * Time that a stream likely takes; with less left before a stop it is refused. A
 * call that may be held for less is refused later.
 */
const STREAM_TIME_MS = 5_500;
/** Name, colon, blank and line end of a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** What the front door needs. */
export interface HttpFrontDoorOptions {
  host: string;
  port: number;
  context: ForwardContext;
  dialect: IngressDialect;
  /** Bytes of bodies that this VM holds at once. */
  maxHeldBytes?: number;
}

/** A request in the middle of the filters. */
interface Arrival {
  message: IncomingMessage;
  response: ServerResponse;
  sink: ResponseSink;
  table: RouteTable;
  receivedAtMs: Millis;
}

/** Serves callers. */
export default class HttpFrontDoor {
  private readonly server: Server;
  private isStopping = false;
  /** Steady time by which everything has to be finished once this VM is stopping. */
  private finishByMs: Millis = Infinity;
  private open = 0;
  private readonly bodies: BodyBudget;

  constructor(private readonly options: HttpFrontDoorOptions) {
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
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
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

  /**
   * From now on each answer ends its connection, and streams that would likely
   * not be whole by the given time are refused.
   */
  beginStop(finishByMs: Millis): void {
    this.isStopping = true;
    this.finishByMs = finishByMs;
  }

  /** Ends everything. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private onRequest(message: IncomingMessage, response: ServerResponse): void {
    const { context } = this.options;
    this.open += 1;
    response.once('close', () => (this.open -= 1));
    const sink = new ResponseSink(message, response, {
      isStopping: () => this.isStopping,
      onRefused: (error, status) => this.noteRefusal(message, error, status),
    });
    const table = context.readTable();
    if (table === undefined) {
      sink.refuse(
        new LimeleadError('store-unavailable', 'no configuration is known yet', {
          retryAfterMs: NO_CONFIGURATION_RETRY_MS,
        }),
      );
      return;
    }
    this.filter({ message, response, sink, table, receivedAtMs: context.clock.now() });
  }

  private filter(arrival: Arrival): void {
    const { message, sink, table } = arrival;
    const fault = checkHead(message, table.limits);
    if (fault !== undefined) {
      sink.refuse(fault);
      return;
    }
    const facts = this.options.dialect.readFacts(message.rawHeaders);
    if (E.isLeft(facts)) {
      sink.refuse(facts.left);
      return;
    }
    const route = table.findRoute(message.headers.host ?? '', message.url ?? '');
    if (route === undefined) {
      sink.refuse(new LimeleadError('not-found', 'no route takes this host and path'));
      return;
    }
    this.authenticate(arrival, facts.right, route);
  }

  private authenticate(arrival: Arrival, facts: IngressFacts, route: ServingRoute): void {
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
          this.admit(arrival, facts, route, {
            body,
            organisation: caller?.organisation,
            rank: caller?.rank ?? route.rank,
          }),
      },
    );
    arrival.response.once('close', giveBack);
  }

  private admit(
    { message, sink, receivedAtMs }: Arrival,
    facts: IngressFacts,
    route: ServingRoute,
    admission: { body: Buffer; organisation?: string; rank: number },
  ): void {
    if (this.finishByMs - receivedAtMs < timeToAnswer(route)) {
      sink.refuse(new LimeleadError('shutting-down', 'this VM stops before the answer is whole'));
      return;
    }
    const service = chooseShare(route, facts.requestId);
    if (service === undefined) {
      sink.refuse(new LimeleadError('no-target', 'the route has no service'));
      return;
    }
    const deadlineAtMs = receivedAtMs + (facts.waitMs ?? route.timeoutMs);
    const admitted: AdmittedRequest = {
      request: {
        requestId: facts.requestId,
        method: message.method ?? 'GET',
        path: message.url ?? '/',
        rawHeaders: message.rawHeaders,
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

  private noteRefusal(message: IncomingMessage, error: LimeleadError, status: number): void {
    const { log, metrics } = this.options.context;
    const facts = this.options.dialect.readFacts(message.rawHeaders);
    metrics.count('limelead_refused_total', 1, { kind: error.kind });
    log.write('request-refused', {
      requestId: E.isRight(facts) ? facts.right.requestId : '',
      kind: error.kind,
      status,
      reason: error.message,
      configuration: this.options.context.readTable()?.version,
    });
  }

  /** Bytes that are no request, too much of a head, or one that comes too slowly. */
  private onMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    const { status, text } = describeMalformed(error.code);
    this.options.context.metrics.count('limelead_malformed_total', 1, { status: String(status) });
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

function describeMalformed(code: string | undefined): { status: number; text: string } {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return { status: 431, text: 'Request Header Fields Too Large' };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return { status: 408, text: 'Request Timeout' };
    default:
      return { status: 400, text: 'Bad Request' };
  }
}

function checkHead(message: IncomingMessage, limits: CallerLimits): LimeleadError | undefined {
  const { rawHeaders, url = '' } = message;
  const bytes = rawHeaders.reduce(
    (sum, part, index) => sum + part.length + (index % 2) * HEADER_LINE_OVERHEAD_BYTES,
    url.length,
  );
  if (bytes > limits.maxHeaderBytes) {
    return new LimeleadError('headers-too-large', 'the head is too long');
  }
  if (!url.startsWith('/')) {
    return new LimeleadError('invalid-request', 'the path does not begin with a slash');
  }
  if (countHeader(rawHeaders, 'host') > 1) {
    return new LimeleadError('invalid-request', 'more than one host');
  }
  return undefined;
}

function countHeader(rawHeaders: string[], name: string): number {
  return rawHeaders.filter((part, index) => index % 2 === 0 && part.toLowerCase() === name).length;
}
