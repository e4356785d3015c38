/** Single calls with JSON bodies to one service. Nothing is sent twice. */
import { PortFault } from '@limelead/errors';
import type { PortCall } from '@limelead/ports';
import type { Address } from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import createSingleConnectionClient from './single-connection-client.js';

/**
 * Time after which an idle connection is closed, in milliseconds. Calls are a second or
 * more apart: each gets a connection of its own, which can't have died unnoticed.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 500;
/** Codes of faults behind which no byte of the request left. */
const NOT_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One call. */
export interface JsonCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  query?: Record<string, string | number>;
  headers?: Record<string, string>;
  body?: object;
}

/** What came back, whatever its status; the body is undefined where it is no JSON. */
export interface JsonResponse {
  status: number;
  body: unknown;
}

/** Makes a call. */
export type JsonCaller = (call: JsonCall) => PortCall<JsonResponse>;

/** @param timeoutMs time from the call to the end of its answer, in milliseconds */
export default function createJsonCaller(address: Address, timeoutMs: number): JsonCaller {
  const client = createSingleConnectionClient(address, IDLE_CONNECTION_TIMEOUT_MS);
  return (call) => async () => {
    const silence = new AbortController();
    const timer = setTimeout(() => silence.abort(), timeoutMs);
    try {
      const { statusCode, body } = await client.request({
        method: call.method,
        path: call.path,
        query: call.query,
        headers: { ...call.headers, ...(call.body && { 'content-type': 'application/json' }) },
        body: call.body && JSON.stringify(call.body),
        signal: silence.signal,
      });
      return E.right({ status: statusCode, body: parseJson(await body.text()) });
    } catch (thrown) {
      return E.left(toFault(thrown, silence.signal.aborted));
    } finally {
      clearTimeout(timer);
    }
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Bodies of refusals need not be JSON; who needs a body checks its shape.
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
