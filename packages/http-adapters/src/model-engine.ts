/** HTTP adapter for model engines. */
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
import { sendExpectingSuccess, type HttpRequest, type HttpTransport } from './http-transport.js';

const PROBE_TIMEOUT_MS = 300;
const LOAD_TIMEOUT_MS = 1_000;

/** Creates a client of the model engine at an address. */
export default function createHttpModelEngine(
  transport: HttpTransport,
  host: string,
  port: number,
): ModelEngine {
  const post = (path: string, body: object, options: Partial<HttpRequest> = {}): HttpRequest => ({
    method: 'POST',
    host,
    port,
    path,
    body: JSON.stringify(body),
    ...options,
  });
  const get = (path: string, timeoutMs: number): HttpRequest => ({
    method: 'GET',
    host,
    port,
    path,
    timeoutMs,
  });
  // No timeout here: the session's silence timeout covers opening the stream.
  const openStream = (path: string, body: object, signal: AbortSignal): PortCall<EngineStream> =>
    pipe(
      sendExpectingSuccess(transport.send, post(path, body, { timeoutMs: 0, signal })),
      TE.map((response) => createEngineStream(response.body)),
    );

  return {
    start: (order, signal) => openStream(ENGINE_PATHS.generations, order, signal),
    attach: (order, signal) => openStream(ENGINE_PATHS.attach, order, signal),
    cancel: (generationId, attempt) =>
      transport.requestStatus(post(ENGINE_PATHS.cancel, { generationId, attempt })),
    probe: (generationId) =>
      pipe(
        transport.requestJson(
          post(ENGINE_PATHS.probe, { generationId }, { timeoutMs: PROBE_TIMEOUT_MS }),
          probeCodec,
        ),
        TE.map(({ running }) => running),
      ),
    reportLoad: () =>
      transport.requestJson(get(ENGINE_PATHS.load, LOAD_TIMEOUT_MS), loadReportCodec),
    readCacheEvents: (afterSequence) =>
      pipe(
        transport.requestJson(
          get(`${ENGINE_PATHS.cacheEvents}?after=${afterSequence}`, LOAD_TIMEOUT_MS),
          cacheEventsCodec,
        ),
        TE.map(({ events }) => events),
      ),
    exportKv: (generationId) =>
      pipe(
        transport.requestJson(post(ENGINE_PATHS.exportKv, { generationId }), exportKvCodec),
        TE.map(({ copy }) => copy),
      ),
    importKv: (copy) => transport.requestStatus(post(ENGINE_PATHS.importKv, { copy })),
    order: (order) => transport.requestStatus(post(ENGINE_PATHS.orders, order)),
  };
}
