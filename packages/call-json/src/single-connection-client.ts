/** HTTP client with a single connection to a service of the platform. */
import { createConnector } from '@limelead/target-connections';
import type { Address } from '@limelead/types';
import { Client } from 'undici';

const CONNECT_TIMEOUT_MS = 400;

/**
 * Creates a client that sends one request at a time. It has no request timeout; callers set one.
 * @param idleMs time after which an idle connection is closed, in milliseconds; the next request
 *   opens a new one
 */
export default function createSingleConnectionClient(
  { host, port }: Address,
  idleMs: number,
): Client {
  return new Client(`http://${host}:${port}`, {
    pipelining: 1,
    connect: createConnector(CONNECT_TIMEOUT_MS),
    keepAliveTimeout: idleMs,
    keepAliveMaxTimeout: idleMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
