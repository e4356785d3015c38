/** One connection to a service of the platform, opened anew where it rested for too long. */
import { createConnector } from '@limelead/target-connections';
import type { Address } from '@limelead/types';
import { Client } from 'undici';

/** Time for a connection, in milliseconds; one within the region takes some. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Creates a client that sends one request at a time; callers bound the time of each.
 * @param idleMs time after which an idle connection is closed, in milliseconds
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
