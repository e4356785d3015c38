/** HTTP client with a single connection to a service of the platform. */
import type { Address } from '@limelead/types';
import type { Client } from 'undici';
import LimitedClient from './limited-client.js';

const CONNECT_TIMEOUT_MS = 400;
/** Limit on the body of an answer; a page of the store has 1 MB. */
export const MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

/**
 * Creates a client that sends one request at a time. It has no request timeout; callers set one.
 * @param idleMs time after which an idle connection is closed, in milliseconds; the next request
 *   opens a new one
 */
export default function createSingleConnectionClient(
  { host, port }: Address,
  idleMs: number,
): Client {
  return new LimitedClient(`http://${host}:${port}`, CONNECT_TIMEOUT_MS, MAX_ANSWER_BYTES, {
    keepAliveTimeout: idleMs,
    keepAliveMaxTimeout: idleMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
