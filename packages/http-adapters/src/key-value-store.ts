/** HTTP adapter for the platform's key-value service. */
import {
  deletedCodec,
  leaseCodec,
  PLATFORM_PATHS,
  storedValueCodec,
  swapOutcomeCodec,
} from '@limelead/outside-protocol';
import type { KeyValueStore } from '@limelead/ports';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { HttpRequest, HttpTransport } from './http-transport.js';

/** Added to the wait of a watch to get its timeout. */
const WATCH_TIMEOUT_MARGIN_MS = 1_000;

/** Creates a client of the key-value service at an address. */
export default function createHttpKeyValueStore(
  transport: HttpTransport,
  host: string,
  port: number,
): KeyValueStore {
  const post = (path: string, body: object, timeoutMs?: number): HttpRequest => ({
    method: 'POST',
    host,
    port,
    path,
    body: JSON.stringify(body),
    timeoutMs,
  });
  return {
    get: (key) => transport.requestJson(post(PLATFORM_PATHS.get, { key }), storedValueCodec),
    compareAndSwap: (key, expectedVersion, value) =>
      transport.requestJson(
        post(PLATFORM_PATHS.compareAndSwap, { key, expectedVersion, value }),
        swapOutcomeCodec,
      ),
    delete: (key, expectedVersion) =>
      pipe(
        transport.requestJson(post(PLATFORM_PATHS.delete, { key, expectedVersion }), deletedCodec),
        TE.map(({ deleted }) => deleted),
      ),
    watch: (key, afterVersion, waitMs) =>
      transport.requestJson(
        post(PLATFORM_PATHS.watch, { key, afterVersion, waitMs }, waitMs + WATCH_TIMEOUT_MARGIN_MS),
        storedValueCodec,
      ),
    acquireLease: (name, holder, ttlMs) =>
      transport.requestJson(post(PLATFORM_PATHS.acquireLease, { name, holder, ttlMs }), leaseCodec),
    releaseLease: (name, holder) =>
      transport.requestStatus(post(PLATFORM_PATHS.releaseLease, { name, holder })),
  };
}
