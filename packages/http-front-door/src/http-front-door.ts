/** The HTTP server for callers and the checks that each request passes before it is forwarded. */
import { createRateLimitedLog, type RateLimitedLog, type LogFields } from '@limelead/decision-log';
import { describeThrown, LimeleadError, toLimeleadError } from '@limelead/errors';
import {
  forwardCall,
  forwardStream,
  type AdmittedRequest,
  OUT_OF_REACH_MESSAGE,
  type ForwardContext,
} from '@limelead/forward-request';
import { chooseService, type RouteTable } from '@limelead/route-requests';
import { streamIdOf, type CallerLimits, type Millis, type ServingRoute } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import AnswerBuffers from './answer-buffers.js';
import checkHead from './check-head.js';
import createMalformedAnswer, {
  parseMalformedHead,
  type ParserError,
} from './malformed-request.js';
import estimateAnswerMs from './estimate-answer.js';
import HeldRequests, { computeHoldMs } from './held-requests.js';
import { readRequestId, type IngressDialect, type IngressHeaders } from './ingress-dialect.js';
import OpenRequests, { type OpenRequest } from './open-requests.js';
import parseRequestTarget, { type RequestTarget } from './request-target.js';
import readBody, { BodyBudget } from './read-body.js';

/** Largest head that the parser accepts; the configured limit is checked afterwards. */
const PARSER_MAX_HEADER_BYTES = 64 * 1024;
const CHECK_INTERVAL_MS = 500;
/** Length of the listen queue. */
const BACKLOG = 511;
/** Default limit on request bodies in memory. */
const DEFAULT_MAX_BUFFERED_BODY_BYTES = 64 * 1024 * 1024;

/** Options of `HttpFrontDoor`. */
export interface HttpFrontDoorOptions {
  host: string;
  port: number;
  context: ForwardContext;
  dialect: IngressDialect;
  /** Limit on request bodies in memory. */
  maxBufferedBodyBytes?: number;
  /** Limit on bytes of answers that wait for their callers; follows the VM's memory by default. */
  maxBufferedAnswerBytes?: number;
}

/** How requests that another VM relays are treated. */
export interface RelayedTreatment {
  /** Additional headers of a refusal, by which the other VM tells it from a target's answer. */
  composeRefusalHeaders(error: LimeleadError): string[];
}

/** A request that is not checked yet. */
interface PendingRequest extends OpenRequest {
  /** Undefined for a request of a caller. */
  relayed: RelayedTreatment | undefined;
}

/** A request with its parsed target and the configuration that it is checked against. */
interface ParsedRequest extends PendingRequest {
  table: RouteTable;
  target: RequestTarget;
}

/** Accepts callers' requests, checks them and forwards them to targets. */
export default class HttpFrontDoor {
  private readonly server: Server;
  private isStopping = false;
  /** Time by which all requests must finish once this VM drains. */
  private drainDeadlineMs: Millis = Infinity;
  private readonly open: OpenRequests;
  private readonly bodyBudget: BodyBudget;
  private readonly answerBuffers: AnswerBuffers;
  private readonly heldRequests: HeldRequests;
  private readonly logMalformed: RateLimitedLog;

  constructor(private readonly options: HttpFrontDoorOptions) {
    const { log, clock } = options.context;
    this.logMalformed = createRateLimitedLog(log, clock, 'request-malformed');
    const { context, dialect, maxBufferedAnswerBytes } = options;
    this.open = new OpenRequests(context, dialect, PARSER_MAX_HEADER_BYTES);
    this.answerBuffers = new AnswerBuffers(context, dialect, maxBufferedAnswerBytes);
    this.heldRequests = new HeldRequests(options.context.timers);
    this.bodyBudget = new BodyBudget(
      options.maxBufferedBodyBytes ?? DEFAULT_MAX_BUFFERED_BODY_BYTES,
    );
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => this.onRequest(message, response),
    );
    // Without a listener Node answers an unknown `Expect` header with 417 and logs nothing.
    this.server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) =>
      this.onRequest(message, response),
    );
    this.server.on('clientError', (error: ParserError, socket: Socket) =>
      this.onMalformed(error, socket),
    );
  }

  /** The port that the server listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.open.size;
  }

  /** Bytes of request bodies in memory. */
  get bufferedBodyBytes(): number {
    return this.bodyBudget.reservedBytes;
  }

  /** Starts to accept connections. */
  listen(): Promise<void> {
    const { host, port } = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
  }

  /** Applies the limits of a new configuration. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.open.maxWaitingBytes = limits.maxHeaderBytes;
  }

  /** Continues held requests once a configuration is known. */
  onStoreViewChange(): void {
    if (this.heldRequests.size > 0 && this.options.context.readRouteTable() !== undefined) {
      this.heldRequests.releaseAll();
    }
  }

  /**
   * Starts to drain: each answer closes its connection, and requests that are expected to
   * outlast the deadline are refused.
   */
  startDraining(drainDeadlineMs: Millis): void {
    this.isStopping = true;
    this.drainDeadlineMs = drainDeadlineMs;
    this.heldRequests.releaseAll();
  }

  /** Ends all requests and closes all connections. */
  async close(): Promise<void> {
    this.startDraining(this.options.context.clock.now());
    this.server.close();
    await this.open.shutDown();
    this.server.closeAllConnections();
  }

  /** Handles a request that another VM relays, on a connection of another server. */
  acceptRelayed(
    message: IncomingMessage,
    response: ServerResponse,
    treatment: RelayedTreatment,
  ): void {
    this.onRequest(message, response, treatment);
  }

  private onRequest(
    message: IncomingMessage,
    response: ServerResponse,
    relayed?: RelayedTreatment,
  ): void {
    const { context } = this.options;
    const sink = this.answerBuffers.createSink(message, response, {
      isStopping: () => this.isStopping,
      onRefused: (error, status) => this.recordRefusal(message, error, status),
      onBrokenOff: (error) => this.recordBrokenOff(message, error),
      composeRefusalHeaders: relayed?.composeRefusalHeaders,
    });
    const receivedAtMs = context.clock.now();
    const pending: PendingRequest = { message, response, sink, receivedAtMs, relayed };
    if (!this.open.add(pending)) {
      return;
    }
    this.runGuarded(pending, () => {
      if (context.readRouteTable() === undefined && !this.isStopping) {
        this.hold(pending);
      } else {
        this.route(pending);
      }
    });
  }

  /**
   * Runs a step of a request, unless the request has ended; an unexpected exception fails this
   * request only.
   */
  private runGuarded({ sink }: PendingRequest, run: () => void): void {
    const { log, metrics } = this.options.context;
    if (sink.isOver) {
      return;
    }
    try {
      run();
    } catch (thrown) {
      metrics.count('limelead_faults_total', 1, { boundary: 'request' });
      log.write('request-failed', { reason: describeThrown(thrown) });
      sink.refuse(toLimeleadError(thrown));
    }
  }

  private hold(pending: PendingRequest): void {
    const cancelHold = this.heldRequests.hold(this.readTimeoutMs(pending), () => {
      this.logHeld(pending);
      this.runGuarded(pending, () => this.route(pending));
    });
    pending.response.once('close', cancelHold);
  }

  private route(pending: PendingRequest): void {
    const { clock, readRouteTable } = this.options.context;
    const table = readRouteTable();
    if (table !== undefined) {
      this.checkRequest({ ...pending, table, target: parseRequestTarget(pending.message) });
      return;
    }
    const heldMs = clock.now() - pending.receivedAtMs;
    const timeoutMs = this.readTimeoutMs(pending);
    pending.sink.refuse(
      new LimeleadError('store-unavailable', 'no configuration has been loaded yet', {
        retryAfterMs: Math.ceil(computeHoldMs(timeoutMs && Math.max(0, timeoutMs - heldMs))),
      }),
    );
  }

  /** The caller's timeout, if its headers are valid and contain one. */
  private readTimeoutMs({ message }: PendingRequest): Millis | undefined {
    const headers = this.options.dialect.parseHeaders(message.rawHeaders);
    return E.isRight(headers) ? headers.right.timeoutMs : undefined;
  }

  private checkRequest(pending: ParsedRequest): void {
    const { target, sink, table } = pending;
    const fault = checkHead(target, table.limits);
    if (fault !== undefined) {
      sink.refuse(fault);
      return;
    }
    const headers = this.options.dialect.parseHeaders(target.rawHeaders);
    if (E.isLeft(headers)) {
      sink.refuse(headers.left);
      return;
    }
    const route = table.findRoute(target.host, target.path);
    if (route === undefined) {
      sink.refuse(new LimeleadError('not-found', 'no route matches this host and path'));
      return;
    }
    this.authenticate(pending, headers.right, route);
  }

  private authenticate(pending: ParsedRequest, headers: IngressHeaders, route: ServingRoute): void {
    const authentication = pending.table.authenticate(route, headers.key);
    if (authentication.kind === 'unknown-key') {
      pending.sink.refuse(new LimeleadError('unauthenticated', 'unknown API key'));
      return;
    }
    const caller = authentication.kind === 'known' ? authentication.caller : undefined;
    const { limits } = pending.table;
    const releaseBody = readBody(
      pending.message,
      { maxBytes: limits.maxBodyBytes, idleTimeoutMs: limits.idleTimeoutMs },
      this.bodyBudget,
      this.options.context.timers,
      {
        onRefused: (error) => pending.sink.refuse(error),
        onBody: (body) => {
          const admission = {
            body,
            organisation: caller?.organisation,
            rank: caller?.rank ?? route.rank,
          };
          this.open.awaitTurn(pending, () =>
            this.runGuarded(pending, () => this.admit(pending, headers, route, admission)),
          );
        },
      },
    );
    pending.response.once('close', releaseBody);
  }

  private admit(
    { message, target, sink, receivedAtMs, relayed }: ParsedRequest,
    headers: IngressHeaders,
    route: ServingRoute,
    admission: { body: Buffer; organisation?: string; rank: number },
  ): void {
    if (this.drainDeadlineMs - receivedAtMs < estimateAnswerMs(route)) {
      sink.refuse(
        new LimeleadError('shutting-down', 'this VM stops before the answer can be completed'),
      );
      return;
    }
    const service = chooseService(route, streamIdOf(headers));
    if (service === undefined) {
      sink.refuse(new LimeleadError('no-target', 'the route has no service'));
      return;
    }
    const deadlineAtMs = receivedAtMs + (headers.timeoutMs ?? route.timeoutMs);
    const admitted: AdmittedRequest = {
      request: {
        requestId: headers.requestId,
        method: message.method ?? 'GET',
        path: target.path,
        rawHeaders: target.rawHeaders,
        body: admission.body,
        deadlineAtMs,
        lastPiece: headers.lastPiece,
        firstAttemptId: headers.firstAttemptId,
        affinityKey: headers.affinityKey === '' ? headers.requestId : headers.affinityKey,
        promptTokens: headers.promptTokens,
        maxOutputTokens: headers.maxOutputTokens,
      },
      route,
      service,
      organisation: admission.organisation,
      rank: admission.rank,
      isRelayed: relayed !== undefined,
      receivedAtMs,
      dueAtMs: Math.min(deadlineAtMs, receivedAtMs + route.timeoutMs),
    };
    const { context } = this.options;
    if (context.relay.mustDecline(admitted)) {
      sink.refuse(new LimeleadError('no-target', OUT_OF_REACH_MESSAGE));
      return;
    }
    const forward = route.streaming ? forwardStream : forwardCall;
    forward(context, admitted, sink);
  }

  private logHeld({ message, receivedAtMs }: PendingRequest): void {
    const { clock, log, metrics, readRouteTable } = this.options.context;
    const heldMs = Math.round(clock.now() - receivedAtMs);
    metrics.recordMs('limelead_held_for_configuration_ms', heldMs);
    log.write('request-held', {
      requestId: readRequestId(this.options.dialect, message.rawHeaders),
      heldMs,
      configuration: readRouteTable()?.version,
    });
  }

  private recordRefusal(message: IncomingMessage, error: LimeleadError, status: number): void {
    const { log, metrics } = this.options.context;
    metrics.count('limelead_refused_total', 1, { kind: error.kind });
    log.write('request-refused', {
      requestId: readRequestId(this.options.dialect, message.rawHeaders),
      kind: error.kind,
      status,
      reason: error.message,
      ...this.describeConfiguration(),
    });
  }

  private recordBrokenOff(message: IncomingMessage, error: LimeleadError): void {
    const { log, metrics } = this.options.context;
    metrics.count('limelead_answers_broken_off_total', 1, { kind: error.kind });
    log.write('answer-broken-off', {
      requestId: readRequestId(this.options.dialect, message.rawHeaders),
      kind: error.kind,
      reason: error.message,
    });
  }

  /** Log fields of the configuration in force: version, source and age of the store view. */
  private describeConfiguration(): LogFields {
    const { readRouteTable, readConfigurationSource, readStoreViewAgeMs } = this.options.context;
    return {
      configuration: readRouteTable()?.version,
      source: readConfigurationSource(),
      knowledgeAgeMs: readStoreViewAgeMs(),
    };
  }

  /** Answers bytes that are not a valid request, a head that is too large, or one that arrives too slowly. */
  private onMalformed(error: ParserError, socket: Socket): void {
    const { status, text } = createMalformedAnswer(error.code);
    this.options.context.metrics.count('limelead_malformed_total', 1, { status: String(status) });
    const { firstLine, rawHeaders } = parseMalformedHead(error.rawPacket);
    this.logMalformed({
      requestId: readRequestId(this.options.dialect, rawHeaders),
      status,
      reason: error.code,
      firstLine,
      ...this.describeConfiguration(),
    });
    const answer = `HTTP/1.1 ${status} ${text}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    if (error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    // At once, it would be taken for the answer to an earlier request, or break into one.
    const isAnswered = this.open.whenAnswered(socket, () =>
      socket.writable ? socket.end(answer) : socket.destroy(),
    );
    if (!isAnswered && error.code === 'HPE_INVALID_EOF_STATE') {
      socket.destroy();
    }
  }
}
