/** Stand-in for a plain service that counts the runs of each call. */
import { PLAIN_SERVICE_PREFIX, REQUEST_ID_HEADER } from '@limelead/outside-protocol';
import { delay, systemTimers } from '@limelead/types';
import type { FastifyInstance } from 'fastify';
import FaultyServer from './server.js';

/** A running plain service with switches for its faults. */
export interface PlainServiceStandIn {
  port: number;
  /** Number of runs by request ID. */
  runs(): ReadonlyMap<string, number>;
  /** Runs the next `count` calls but closes their connections instead of answering. */
  dropReplies(count: number): void;
  /** Sets the duration of each call. */
  setCallDurationMs(milliseconds: number): void;
  crash(): Promise<void>;
  restart(): Promise<void>;
  pause(): void;
  resume(): void;
  stop(): Promise<void>;
}

/** Starts a plain service on loopback. */
export default async function startPlainService(): Promise<PlainServiceStandIn> {
  const runs = new Map<string, number>();
  let repliesToDrop = 0;
  let callMs = 0;

  function register(server: FastifyInstance): void {
    server.addContentTypeParser(
      'application/octet-stream',
      { parseAs: 'buffer' },
      (_, body, done) => done(null, body),
    );
    server.post(`${PLAIN_SERVICE_PREFIX}/:service/:operation`, async (request, reply) => {
      const requestId = String(request.headers[REQUEST_ID_HEADER]);
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      if (callMs > 0) {
        await delay(systemTimers, callMs);
      }
      if (repliesToDrop > 0) {
        repliesToDrop -= 1;
        request.raw.socket.destroy();
        return reply;
      }
      const { operation } = request.params as { operation: string };
      return { requestId, operation, done: true };
    });
  }

  const server = new FaultyServer(register);
  await server.listen();
  return {
    get port() {
      return server.port;
    },
    runs: () => runs,
    dropReplies: (count) => void (repliesToDrop = count),
    setCallDurationMs: (milliseconds) => void (callMs = milliseconds),
    crash: () => server.crash(),
    restart: () => server.listen(),
    pause: () => server.pause(),
    resume: () => server.resume(),
    stop: () => server.crash(),
  };
}
