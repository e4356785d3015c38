/** HTTP requests over undici. Each is sent at most once, and every failure is a `PortFault`. */
import { PortFault, type RequestSent } from '@limelead/errors';
import type { PortCall } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type * as t from 'io-ts';
import { Agent, type Dispatcher } from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_TIMEOUT_MS = 2_000;

/** Error codes that occur only before a connection is established. */
const NOT_CONNECTED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);
/** Statuses by which a system says that it did not execute the request. */
const NOT_EXECUTED_STATUSES = new Set([429, 503]);
const NOT_FOUND = 404;
const CONFLICT = 409;
const MIN_FAILURE_STATUS = 300;

/** An HTTP request. */
export interface HttpRequest {
  method: 'GET' | 'POST';
  host: string;
  port: number;
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  /** Timeout for the response headers; 0 means no timeout. */
  timeoutMs?: number;
  signal?: AbortSignal;
}

/** Sends each request at most once. */
export interface HttpTransport {
  /** Gives the response with any status. */
  send(request: HttpRequest): PortCall<Dispatcher.ResponseData>;
  /** Gives the decoded body. Fails on an error status or a body that the codec rejects. */
  requestJson<Value>(request: HttpRequest, codec: t.Type<Value, unknown>): PortCall<Value>;
  /** Discards the body. Fails on an error status. */
  requestStatus(request: HttpRequest): PortCall<void>;
  close(): Promise<void>;
}

/** Creates the transport that a process uses for all requests. */
export default function createHttpTransport(): HttpTransport {
  // Without pipelining, a broken connection fails only one request.
  const agent = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    bodyTimeout: 0,
  });

  const send =
    (request: HttpRequest): PortCall<Dispatcher.ResponseData> =>
    async () => {
      try {
        return E.right(await agent.request(toDispatchOptions(request)));
      } catch (thrown) {
        return E.left(toPortFault(thrown));
      }
    };

  const requestJson =
    <Value>(request: HttpRequest, codec: t.Type<Value, unknown>): PortCall<Value> =>
    async () => {
      const response = await sendExpectingSuccess(send, request)();
      return E.isLeft(response) ? response : readJson(response.right, codec);
    };

  const requestStatus =
    (request: HttpRequest): PortCall<void> =>
    async () => {
      const response = await sendExpectingSuccess(send, request)();
      if (E.isLeft(response)) {
        return response;
      }
      await discardBody(response.right);
      return E.right(undefined);
    };

  return { send, requestJson, requestStatus, close: () => agent.destroy() };
}

/** Sends a request and converts an error status to a fault. */
export function sendExpectingSuccess(
  send: HttpTransport['send'],
  request: HttpRequest,
): PortCall<Dispatcher.ResponseData> {
  return async () => {
    const response = await send(request)();
    if (E.isLeft(response) || response.right.statusCode < MIN_FAILURE_STATUS) {
      return response;
    }
    await discardBody(response.right);
    return E.left(toStatusFault(response.right.statusCode));
  };
}

function toDispatchOptions(request: HttpRequest): Dispatcher.RequestOptions {
  return {
    origin: `http://${request.host}:${request.port}`,
    method: request.method,
    path: request.path,
    headers: request.headers ?? (typeof request.body === 'string' ? JSON_HEADERS : {}),
    body: request.body ?? null,
    headersTimeout: request.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    signal: request.signal ?? null,
  };
}

const JSON_HEADERS = { 'content-type': 'application/json' };

async function readJson<Value>(
  response: Dispatcher.ResponseData,
  codec: t.Type<Value, unknown>,
): Promise<E.Either<PortFault, Value>> {
  try {
    const decoded = codec.decode(await response.body.json());
    return E.isRight(decoded)
      ? E.right(decoded.right)
      : E.left(new PortFault('invalid', 'maybe', 'the response body has an unexpected shape'));
  } catch (thrown) {
    return E.left(toPortFault(thrown));
  }
}

async function discardBody(response: Dispatcher.ResponseData): Promise<void> {
  await response.body.dump().catch(() => undefined);
}

function toStatusFault(status: number): PortFault {
  if (status === NOT_FOUND) {
    return new PortFault('gone', 'maybe', 'not found');
  }
  const sent: RequestSent = NOT_EXECUTED_STATUSES.has(status) ? 'no' : 'maybe';
  const reason = sent === 'no' || status === CONFLICT ? 'refused' : 'invalid';
  return new PortFault(reason, sent, `status ${status}`);
}

function toPortFault(thrown: unknown): PortFault {
  const code = readCode(thrown);
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (NOT_CONNECTED_CODES.has(code)) {
    return new PortFault('unreachable', 'no', message);
  }
  const isTimeout = code === 'UND_ERR_HEADERS_TIMEOUT';
  return new PortFault(isTimeout ? 'timeout' : 'broken', 'maybe', message);
}

function readCode(thrown: unknown): string {
  if (typeof thrown === 'object' && thrown !== null && 'code' in thrown) {
    return String(thrown.code);
  }
  return '';
}
