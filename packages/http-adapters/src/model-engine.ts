/** The adapter to one model engine. */
import {
  cacheEventsCodec,
  ENGINE_PATHS,
  exportKvCodec,
  loadReportCodec,
  probeCodec,
} from '@limelead/outside-protocol';
import type { EngineStream, ModelEngine, PortCall } from '@limelead/ports';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import createEngineStream from './engine-stream.js';
import { sendForGoodStatus, type HttpRequest, type HttpTransport } from './http-transport.js';

const PROBE_TIMEOUT_MS = 300;
const LOAD_TIMEOUT_MS = 1_000;

/** Creates the adapter for an engine's address. */
export default function createHttpModelEngine(
  transport: HttpTransport,
  host: string,
  port: number,
): ModelEngine {
  const post = (path: string, body: object, more: Partial<HttpRequest> = {}): HttpRequest => ({
    method: 'POST',
    host,
    port,
    path,
    body: JSON.stringify(body),
    ...more,
  });
  const get = (path: string, timeoutMs: number): HttpRequest => ({
    method: 'GET',
    host,
    port,
    path,
    timeoutMs,
  });
  // The session's own silence bound limits how long a stream may take to open.
  const openStream = (path: string, body: object, signal: AbortSignal): PortCall<EngineStream> =>
    pipe(
      sendForGoodStatus(transport.send, post(path, body, { timeoutMs: 0, signal })),
      TE.map((response) => createEngineStream(response.body)),
    );

  return {
    start: (order, signal) => openStream(ENGINE_PATHS.generations, order, signal),
    attach: (order, signal) => openStream(ENGINE_PATHS.attach, order, signal),
    cancel: (generationId, attempt) =>
      transport.sendForNothing(post(ENGINE_PATHS.cancel, { generationId, attempt })),
    probe: (generationId) =>
      pipe(
        transport.sendForJson(
          post(ENGINE_PATHS.probe, { generationId }, { timeoutMs: PROBE_TIMEOUT_MS }),
          probeCodec,
        ),
        TE.map(({ running }) => running),
      ),
    reportLoad: () =>
      transport.sendForJson(get(ENGINE_PATHS.load, LOAD_TIMEOUT_MS), loadReportCodec),
    readCacheEvents: (afterSequence) =>
      pipe(
        transport.sendForJson(
          get(`${ENGINE_PATHS.cacheEvents}?after=${afterSequence}`, LOAD_TIMEOUT_MS),
          cacheEventsCodec,
        ),
        TE.map(({ events }) => events),
      ),
    exportKv: (generationId) =>
      pipe(
        transport.sendForJson(post(ENGINE_PATHS.exportKv, { generationId }), exportKvCodec),
        TE.map(({ copy }) => copy),
      ),
    importKv: (copy) => transport.sendForNothing(post(ENGINE_PATHS.importKv, { copy })),
    order: (order) => transport.sendForNothing(post(ENGINE_PATHS.orders, order)),
  };
}
