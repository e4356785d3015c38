/** The adapter to the platform's key-value service. */
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

/** Time on top of a watch's own wait before it counts as failed. */
const WATCH_GRACE_MS = 1_000;

/** Creates the adapter for the service's address. */
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
    get: (key) => transport.sendForJson(post(PLATFORM_PATHS.get, { key }), storedValueCodec),
    compareAndSwap: (key, expectedVersion, value) =>
      transport.sendForJson(
        post(PLATFORM_PATHS.compareAndSwap, { key, expectedVersion, value }),
        swapOutcomeCodec,
      ),
    delete: (key, expectedVersion) =>
      pipe(
        transport.sendForJson(post(PLATFORM_PATHS.delete, { key, expectedVersion }), deletedCodec),
        TE.map(({ deleted }) => deleted),
      ),
    watch: (key, afterVersion, waitMs) =>
      transport.sendForJson(
        post(PLATFORM_PATHS.watch, { key, afterVersion, waitMs }, waitMs + WATCH_GRACE_MS),
        storedValueCodec,
      ),
    acquireLease: (name, holder, ttlMs) =>
      transport.sendForJson(post(PLATFORM_PATHS.acquireLease, { name, holder, ttlMs }), leaseCodec),
    releaseLease: (name, holder) =>
      transport.sendForNothing(post(PLATFORM_PATHS.releaseLease, { name, holder })),
  };
}
