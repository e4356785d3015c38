/** Stand-in for the platform: key-value service, VM list and weight store on one HTTP server. */
import { PLATFORM_PATHS } from '@limelead/outside-protocol';
import { systemClock } from '@limelead/types';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import createKeyValueState, { type KeyValueState } from './key-value-state.js';
import FaultyServer from './server.js';
import createLaggedVmList, { type LaggedVmList } from './lagged-vm-list.js';

const MAX_VALUE_BYTES = 1_048_576;
const WEIGHT_BYTES = 16e9;

/** Rate limits and delay of the platform. */
export interface PlatformOptions {
  writesPerSecond: number;
  readsPerSecond: number;
  /** Delay until a change of the VM list is visible. */
  listLagMs: number;
}

/** Admitted calls by kind, and refused calls. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
  refused: number;
}

/** A running platform with switches for its faults. */
export interface Platform {
  port: number;
  keyValueState: KeyValueState;
  vms: LaggedVmList;
  counts(): CallCounts;
  /** Sets whether every call to the key-value service fails. */
  setOutage(isUnavailable: boolean): void;
  /** Sets whether reads of the VM list fail. */
  setVmListOutage(isUnavailable: boolean): void;
  /** Applies the next `count` compare-and-swaps but closes their connections instead of answering. */
  dropSwapReplies(count: number): void;
  /** Sets the delay of every call to the key-value service. */
  setDelayMs(milliseconds: number): void;
  stop(): Promise<void>;
}

type CallKind = 'read' | 'write' | 'watch';

const DEFAULT_OPTIONS: PlatformOptions = {
  writesPerSecond: 400,
  readsPerSecond: 2_000,
  listLagMs: 300,
};

/** Starts the platform on loopback. */
export default async function startPlatform(
  options: Partial<PlatformOptions> = {},
): Promise<Platform> {
  const { writesPerSecond, readsPerSecond, listLagMs } = { ...DEFAULT_OPTIONS, ...options };
  const clock = systemClock;
  const values = createKeyValueState(clock);
  const vms = createLaggedVmList(clock, listLagMs);
  const counts: CallCounts = { reads: 0, writes: 0, watches: 0, refused: 0 };
  const takeWriteToken = createTokenBucket(writesPerSecond);
  const takeReadToken = createTokenBucket(readsPerSecond);
  let isUnavailable = false;
  let isVmListUnavailable = false;
  let repliesToDrop = 0;
  let delayMs = 0;

  /** Counts a call; returns false after refusing it. */
  async function admit(kind: CallKind, reply: FastifyReply): Promise<boolean> {
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    const isWithinRate =
      kind === 'write' ? takeWriteToken(clock.now()) : takeReadToken(clock.now());
    if (isUnavailable || !isWithinRate) {
      counts.refused += 1;
      await reply.code(isUnavailable ? 503 : 429).send({});
      return false;
    }
    const name = ({ read: 'reads', write: 'writes', watch: 'watches' } as const)[kind];
    counts[name] += 1;
    return true;
  }

  function route<Body>(
    server: FastifyInstance,
    path: string,
    kind: CallKind,
    run: (body: Body, request: FastifyRequest) => unknown,
  ): void {
    server.post(path, async (request, reply) =>
      (await admit(kind, reply)) ? run(request.body as Body, request) : reply,
    );
  }

  interface SwapBody {
    key: string;
    expectedVersion: number;
    value: string;
  }

  function swap({ key, expectedVersion, value }: SwapBody, request: FastifyRequest): unknown {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      throw new Error('the value is too large');
    }
    const outcome = values.compareAndSwap(key, expectedVersion, value);
    if (repliesToDrop > 0) {
      repliesToDrop -= 1;
      request.raw.socket.destroy();
    }
    return outcome;
  }

  function register(server: FastifyInstance): void {
    route<{ key: string }>(server, PLATFORM_PATHS.get, 'read', ({ key }) => values.get(key));
    route<SwapBody>(server, PLATFORM_PATHS.compareAndSwap, 'write', swap);
    route<SwapBody>(server, PLATFORM_PATHS.delete, 'write', ({ key, expectedVersion }) => ({
      deleted: values.delete(key, expectedVersion),
    }));
    route<{ key: string; afterVersion: number; waitMs: number }>(
      server,
      PLATFORM_PATHS.watch,
      'watch',
      ({ key, afterVersion, waitMs }) => values.watch(key, afterVersion, waitMs),
    );
    route<{ name: string; holder: string; ttlMs: number }>(
      server,
      PLATFORM_PATHS.acquireLease,
      'write',
      ({ name, holder, ttlMs }) => values.acquireLease(name, holder, ttlMs),
    );
    route<{ name: string; holder: string }>(
      server,
      PLATFORM_PATHS.releaseLease,
      'write',
      ({ name, holder }) => {
        values.releaseLease(name, holder);
        return {};
      },
    );
    server.get(PLATFORM_PATHS.vms, async (_, reply) =>
      isVmListUnavailable ? reply.code(503).send({}) : vms.read(),
    );
    server.post(PLATFORM_PATHS.weights, async () => ({ bytes: WEIGHT_BYTES }));
  }

  const server = new FaultyServer(register);
  await server.listen();
  return {
    get port() {
      return server.port;
    },
    keyValueState: values,
    vms,
    counts: () => ({ ...counts }),
    setOutage: (next) => void (isUnavailable = next),
    setVmListOutage: (next) => void (isVmListUnavailable = next),
    dropSwapReplies: (count) => void (repliesToDrop = count),
    setDelayMs: (milliseconds) => void (delayMs = milliseconds),
    stop: () => server.crash(),
  };
}

/** Creates a token bucket that holds the calls of one second. */
function createTokenBucket(perSecond: number): (now: number) => boolean {
  let tokens = perSecond;
  let refilledAtMs = 0;
  return (now) => {
    tokens = Math.min(perSecond, tokens + ((now - refilledAtMs) * perSecond) / 1000);
    refilledAtMs = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  };
}
