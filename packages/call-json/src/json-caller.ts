/** Calls with JSON bodies to one service; each is sent at most once. */
import { PortFault } from '@limelead/errors';
import type { PortCall } from '@limelead/ports';
import type { Address } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import createSingleConnectionClient from './single-connection-client.js';

/**
 * Shorter than the time between calls, so that each call opens a new connection instead of
 * reusing one that may have died.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 500;
/** Error codes that occur only before a connection is established. */
const NOT_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A call; a body is sent as JSON. */
export interface JsonCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  query?: Record<string, string | number>;
  headers?: Record<string, string>;
  body?: object;
}

/** A response with any status. The body is undefined if it is not valid JSON. */
export interface JsonResponse {
  status: number;
  body: unknown;
}

/** Makes a call. Fails with a `PortFault` that says whether the request may have been sent. */
export type JsonCaller = (call: JsonCall) => PortCall<JsonResponse>;

/** @param timeoutMs timeout from the call to the end of the response, in milliseconds */
export default function createJsonCaller(address: Address, timeoutMs: number): JsonCaller {
  const client = createSingleConnectionClient(address, IDLE_CONNECTION_TIMEOUT_MS);
  return (call) => async () => {
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), timeoutMs);
    try {
      const { statusCode, body } = await client.request({
        method: call.method,
        path: call.path,
        query: call.query,
        headers: { ...call.headers, ...(call.body && { 'content-type': 'application/json' }) },
        body: call.body && JSON.stringify(call.body),
        signal: timeout.signal,
      });
      return E.right({ status: statusCode, body: parseJson(await body.text()) });
    } catch (thrown) {
      return E.left(toFault(thrown, timeout.signal.aborted));
    } finally {
      clearTimeout(timer);
    }
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Error responses need not be JSON. Callers that need a body check its shape.
    return undefined;
  }
}

function toFault(thrown: unknown, isTimeout: boolean): PortFault {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  const code = (thrown as { code?: unknown } | undefined)?.code;
  if (typeof code === 'string' && NOT_CONNECTED_CODES.has(code)) {
    return new PortFault('unreachable', 'no', message);
  }
  return new PortFault(isTimeout ? 'timeout' : 'broken', 'maybe', message);
}
