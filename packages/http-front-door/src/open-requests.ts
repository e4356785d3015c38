/** The requests of a front door that have no complete answer yet. */
import type { ForwardContext } from '@limelead/forward-request';
import type { Millis } from '@limelead/types';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import CallerConnection from './caller-connection.js';
import { readRequestId, type IngressDialect } from './ingress-dialect.js';
import type ResponseSink from './response-sink.js';

/** Longest wait until answers are flushed; a part of what a stop keeps of its grace period. */
const FLUSH_TIMEOUT_MS: Millis = 75;

/** One request and its answer. */
export interface OpenRequest {
  message: IncomingMessage;
  response: ServerResponse;
  sink: ResponseSink;
  receivedAtMs: Millis;
}

/** Tracks open requests and ends them on shutdown. */
export default class OpenRequests {
  private readonly requests = new Set<OpenRequest>();
  private readonly connections = new WeakMap<Socket, CallerConnection>();
  /** Called when the last open request ends. */
  private onNone: () => void = () => undefined;

  constructor(
    private readonly context: Pick<ForwardContext, 'clock' | 'timers' | 'log' | 'metrics'>,
    private readonly dialect: IngressDialect,
    /** Limit on the heads of requests that wait on one connection. */
    public maxWaitingBytes: number,
  ) {}

  get size(): number {
    return this.requests.size;
  }

  /**
   * Adds a request until its answer is complete or its connection closes.
   * @returns whether the request is to be handled; see `CallerConnection`
   */
  add(request: OpenRequest): boolean {
    const { message, response } = request;
    if (!this.connectionOf(message.socket).add(message, response)) {
      this.context.metrics.count('limelead_requests_discarded_total');
      return false;
    }
    this.requests.add(request);
    response.once('close', () => this.remove(request));
    return true;
  }

  /** See `CallerConnection`. */
  awaitTurn({ message, response }: OpenRequest, proceed: () => void): void {
    this.connectionOf(message.socket).awaitTurn(response, proceed);
  }

  /** See `CallerConnection`. */
  whenAnswered(socket: Socket, run: () => void): boolean {
    return this.connectionOf(socket).whenAnswered(run);
  }

  /**
   * Ends all open requests, each with an answer that tells whether it may have run; answers that
   * have begun are broken off. Resolves when the answers are flushed. The connections of callers
   * that do not read theirs are closed after a short time.
   */
  async shutDown(): Promise<void> {
    this.requests.forEach(({ sink }) => sink.shutDown());
    await this.waitForFlush();
    for (const request of this.requests) {
      this.logCut(request);
      request.message.socket.destroy();
      this.remove(request);
    }
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    const connection = known ?? new CallerConnection(socket, () => this.maxWaitingBytes);
    this.connections.set(socket, connection);
    return connection;
  }

  private remove(request: OpenRequest): void {
    this.requests.delete(request);
    if (this.requests.size === 0) {
      this.onNone();
    }
  }

  private async waitForFlush(): Promise<void> {
    if (this.requests.size === 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      const cancelTimer = this.context.timers.after(FLUSH_TIMEOUT_MS, resolve);
      this.onNone = () => {
        cancelTimer();
        resolve();
      };
    });
  }

  /** Logs an answer that is not flushed; without the line its caller seems to have left. */
  private logCut({ message, response, receivedAtMs }: OpenRequest): void {
    if (response.writableLength === 0) {
      return;
    }
    const { clock, log, metrics } = this.context;
    metrics.count('limelead_requests_cut_total');
    log.write('request-cut', {
      requestId: readRequestId(this.dialect, message.rawHeaders),
      isBodyRead: message.complete,
      hasBegun: response.headersSent,
      openMs: Math.round(clock.now() - receivedAtMs),
    });
  }
}
