/** Single HTTP requests over undici, with every failure as a PortFault. Nothing is ever sent twice. */
import { PortFault, type RequestSent } from '@limelead/errors';
import type { PortCall } from '@limelead/ports';
import * as E from 'fp-ts/lib/Either.js';
import type * as t from 'io-ts';
import { Agent, type Dispatcher } from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_TIMEOUT_MS = 2_000;

/** Error codes that can only stand for a connection that was never made. */
const NEVER_CONNECTED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);
/** Answers that say that the system did not act on the request. */
const NOT_ACTED_STATUS = new Set([429, 503]);
const NOT_FOUND = 404;
const CONFLICT = 409;
const FIRST_ERROR_STATUS = 300;

/** One request. */
export interface HttpRequest {
  method: 'GET' | 'POST';
  host: string;
  port: number;
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  /** Milliseconds until the answer must have begun; 0 is no limit. */
  timeoutMs?: number;
  signal?: AbortSignal;
}

/** Sends requests. */
export interface HttpTransport {
  /** Sends once; gives the answer whatever its status. */
  send(request: HttpRequest): PortCall<Dispatcher.ResponseData>;
  /** Sends once; the answer must have a good status and a body that the codec takes. */
  sendForJson<Value>(request: HttpRequest, codec: t.Type<Value, unknown>): PortCall<Value>;
  /** Sends once; only the status counts. */
  sendForNothing(request: HttpRequest): PortCall<void>;
  close(): Promise<void>;
}

/** Creates the transport of one process. */
export default function createHttpTransport(): HttpTransport {
  // pipelining: 1 keeps a broken connection from hitting requests other than its own.
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

  const sendForJson =
    <Value>(request: HttpRequest, codec: t.Type<Value, unknown>): PortCall<Value> =>
    async () => {
      const response = await sendForGoodStatus(send, request)();
      return E.isLeft(response) ? response : readJson(response.right, codec);
    };

  const sendForNothing =
    (request: HttpRequest): PortCall<void> =>
    async () => {
      const response = await sendForGoodStatus(send, request)();
      if (E.isLeft(response)) {
        return response;
      }
      await discardBody(response.right);
      return E.right(undefined);
    };

  return { send, sendForJson, sendForNothing, close: () => agent.destroy() };
}

/** Sends a request and turns a bad status into a fault. */
export function sendForGoodStatus(
  send: HttpTransport['send'],
  request: HttpRequest,
): PortCall<Dispatcher.ResponseData> {
  return async () => {
    const response = await send(request)();
    if (E.isLeft(response) || response.right.statusCode < FIRST_ERROR_STATUS) {
      return response;
    }
    await discardBody(response.right);
    return E.left(describeStatus(response.right.statusCode));
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
      : E.left(new PortFault('invalid', 'maybe', 'the answer has an unexpected shape'));
  } catch (thrown) {
    return E.left(toPortFault(thrown));
  }
}

async function discardBody(response: Dispatcher.ResponseData): Promise<void> {
  await response.body.dump().catch(() => undefined);
}

function describeStatus(status: number): PortFault {
  if (status === NOT_FOUND) {
    return new PortFault('gone', 'maybe', 'not found');
  }
  const sent: RequestSent = NOT_ACTED_STATUS.has(status) ? 'no' : 'maybe';
  const reason = sent === 'no' || status === CONFLICT ? 'refused' : 'invalid';
  return new PortFault(reason, sent, `status ${status}`);
}

function toPortFault(thrown: unknown): PortFault {
  const code = readCode(thrown);
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (NEVER_CONNECTED_CODES.has(code)) {
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
