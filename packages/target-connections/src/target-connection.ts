/** A connection to a target that carries one request at a time. */
import { PortFault, type RequestSent } from '@limelead/errors';
import type { Clock, Millis, Timers } from '@limelead/types';
import { Client, type Dispatcher } from 'undici';
import AnswerMeter, {
  AnswerExcessError,
  FIRST_FINAL_STATUS,
  type AnswerExcess,
} from './answer-meter.js';
import createConnector from './create-connector.js';
import { ConnectionReads } from './read-share.js';
import type ReadShare from './read-share.js';

/** Keep-alive timeout for targets that announce none. */
const DEFAULT_IDLE_MS = 4_000;
const MAX_IDLE_MS = 60_000;
/** Time before the announced keep-alive timeout at which a connection is no longer used. */
const IDLE_MARGIN_MS = 1_000;

/** A request to a target. */
export interface TargetCall {
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number;
  /** Alternating names and values, as received. */
  rawHeaders: string[];
  /** Values by lower-case name; the last value of a repeated name. */
  headers: ReadonlyMap<string, string>;
}

/** Events of a call. `onEnd` or `onFault` is the last one. */
export interface CallEvents {
  onHead(head: AnswerHead): void;
  /** Called for each chunk of the body; no chunk is empty. */
  onData(chunk: Buffer): void;
  /** Called when the answer is complete. */
  onEnd(): void;
  onFault(fault: PortFault): void;
}

/** A call in progress. */
export interface OpenCall {
  /** Cancels the call and closes its connection; no further event is emitted. */
  cancel(): void;
  /**
   * Stops reading the answer, apart from a chunk that was read before. A reset is noticed while it
   * is paused, an end only after it is resumed. Returns false and has no effect before the head
   * and after the end of the answer.
   */
  pause(): boolean;
  /** Continues to read a paused answer. Must not be called from an event of a call. */
  resume(): void;
}

/** Options of a connection. */
export interface TargetConnectionOptions {
  origin: string;
  connectTimeoutMs: Millis;
  clock: Clock;
  timers: Timers;
  /** Share of the event loop of all connections that read long answers. */
  share: ReadShare;
  onClosed(connection: TargetConnection): void;
  onOpened(isOpen: boolean): void;
  onExcess(excess: AnswerExcess): void;
}

/** A connection that opens when its first request is sent. */
export default class TargetConnection {
  isBusy = false;
  /** When the last answer was completed; 0 before the first. */
  idleSinceMs: Millis = 0;
  isClosed = false;
  private isBroken = false;
  private readonly client: Client;
  private readonly meter = new AnswerMeter();

  constructor(private readonly options: TargetConnectionOptions) {
    const { origin, connectTimeoutMs, share, timers } = options;
    this.client = new Client(origin, {
      pipelining: 1,
      connect: createConnector(connectTimeoutMs, {
        onOpened: (isOpen) => options.onOpened(isOpen),
        createPacing: () => ({ reads: new ConnectionReads(share), timers }),
        onBroken: () => (this.isBroken = true),
        taken: {
          addTaken: (bytes) => this.meter.addTaken(bytes),
          findError: () => this.findExcessError(),
        },
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    });
    this.client.on('disconnect', () => this.close());
    this.client.on('connectionError', () => this.close());
  }

  /** Sends a call; the connection must not be busy. */
  send(call: TargetCall, events: CallEvents): OpenCall {
    this.isBusy = true;
    this.meter.begin();
    const handler = new CallHandler(events, {
      meter: this.meter,
      isBroken: () => this.isBroken,
      onIdle: () => this.onIdle(),
      close: () => this.close(),
    });
    this.client.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body.length === 0 ? null : call.body,
      },
      handler,
    );
    return handler;
  }

  /** Closes the connection and fails the call that runs on it. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.options.onClosed(this);
    void this.client.destroy().catch(() => undefined);
  }

  private findExcessError(): Error | undefined {
    const excess = this.isClosed ? undefined : this.meter.findExcess();
    if (excess === undefined) {
      return undefined;
    }
    this.options.onExcess(excess);
    return new AnswerExcessError(excess);
  }

  private onIdle(): void {
    this.isBusy = false;
    this.idleSinceMs = this.options.clock.now();
  }
}

/** The operations of a connection that a call uses. */
interface ConnectionControl {
  meter: AnswerMeter;
  /** Whether the connection was reset but seems to end. */
  isBroken(): boolean;
  onIdle(): void;
  close(): void;
}

/** Converts the events of the HTTP library to `CallEvents` and records whether the request was sent. */
class CallHandler implements Dispatcher.DispatchHandler, OpenCall {
  private sent: RequestSent = 'no';
  private isOver = false;
  private controller: Dispatcher.DispatchController | undefined;
  private canPause = false;

  constructor(
    private readonly events: CallEvents,
    private readonly connection: ConnectionControl,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isOver || this.sent === 'maybe') {
      // A second start would send the request again.
      controller.abort(new Error('not sent again'));
      return;
    }
    this.sent = 'maybe';
    this.controller = controller;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    this.connection.meter.addHead(status);
    if (this.isOver || status < FIRST_FINAL_STATUS) {
      return;
    }
    const rawHeaders = (controller.rawHeaders ?? []) as unknown as (Buffer | string)[];
    this.canPause = true;
    this.events.onHead(
      parseHead(
        status,
        rawHeaders.map((part) => part.toString('latin1')),
      ),
    );
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection.meter.addBody(chunk.length);
    // The library passes an empty chunk when it reads on behind the end of a chunk.
    if (!this.isOver && chunk.length > 0) {
      this.events.onData(chunk);
    }
  }

  onResponseEnd(controller: Dispatcher.DispatchController): void {
    if (this.connection.isBroken()) {
      // The library treats an answer without a length as complete at any end of its connection.
      this.onResponseError(controller, new Error('reset before the end of the answer'));
      return;
    }
    if (!this.isOver) {
      this.isOver = true;
      this.connection.onIdle();
      this.events.onEnd();
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.connection.close();
    if (!this.isOver) {
      this.isOver = true;
      this.events.onFault(toFault(error, this.sent));
    }
  }

  cancel(): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    this.controller?.abort(new Error('cancelled'));
    this.connection.close();
  }

  pause(): boolean {
    const isPaused = this.canPause && !this.isOver;
    if (isPaused) {
      this.controller?.pause();
    }
    return isPaused;
  }

  resume(): void {
    if (!this.isOver) {
      this.controller?.resume();
    }
  }
}

function parseHead(status: number, rawHeaders: string[]): AnswerHead {
  const headers = new Map<string, string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.set((rawHeaders[index] ?? '').toLowerCase(), rawHeaders[index + 1] ?? '');
  }
  return { status, rawHeaders, headers };
}

function toFault(error: Error, sent: RequestSent): PortFault {
  const reason = sent === 'no' ? 'unreachable' : 'broken';
  const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  return new PortFault(reason, sent, error.message, isRefused);
}
