/** The platform: key-value service, list of VMs and weight store behind one HTTP server. */
import { PLATFORM_PATHS } from '@limelead/outside-protocol';
import { systemClock } from '@limelead/types';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import createKeyValueState, { type KeyValueState } from './key-value-state.js';
import FaultyServer from './server.js';
import createLaggedVmList, { type LaggedVmList } from './lagged-vm-list.js';

const MAX_VALUE_BYTES = 1_048_576;
const WEIGHT_BYTES = 16e9;

/** How the platform behaves. */
export interface PlatformOptions {
  writesPerSecond: number;
  readsPerSecond: number;
  /** Milliseconds until a change of the list of VMs shows. */
  listLagMs: number;
}

/** Calls counted against the service's rate. */
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
  /** Answers every call of the key-value service with an error, or no longer. */
  setOutage(isOut: boolean): void;
  /** Answers no reading of the list of VMs, or does so again. */
  setVmListOutage(isOut: boolean): void;
  /** Carries the next compare-and-swaps out but breaks the link before the reply. */
  dropSwapReplies(count: number): void;
  /** Holds every call of the key-value service back by so many milliseconds. */
  setDelayMs(milliseconds: number): void;
  stop(): Promise<void>;
}

type Kind = 'read' | 'write' | 'watch';

/** Rates as the users' sheets tell them for 7 VMs. */
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
  const writeBudget = createBudget(writesPerSecond);
  const readBudget = createBudget(readsPerSecond);
  let isOut = false;
  let isListOut = false;
  let repliesToLose = 0;
  let slownessMs = 0;

  /** Counts a call; says whether it may be carried out. */
  async function admit(kind: Kind, reply: FastifyReply): Promise<boolean> {
    if (slownessMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, slownessMs));
    }
    const hasBudget = kind === 'write' ? writeBudget(clock.now()) : readBudget(clock.now());
    if (isOut || !hasBudget) {
      counts.refused += 1;
      await reply.code(isOut ? 503 : 429).send({});
      return false;
    }
    const name = ({ read: 'reads', write: 'writes', watch: 'watches' } as const)[kind];
    counts[name] += 1;
    return true;
  }

  function route<Body>(
    server: FastifyInstance,
    path: string,
    kind: Kind,
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
    if (repliesToLose > 0) {
      repliesToLose -= 1;
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
      isListOut ? reply.code(503).send({}) : vms.read(),
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
    setOutage: (next) => void (isOut = next),
    setVmListOutage: (next) => void (isListOut = next),
    dropSwapReplies: (count) => void (repliesToLose = count),
    setDelayMs: (milliseconds) => void (slownessMs = milliseconds),
    stop: () => server.crash(),
  };
}

/** A token bucket of one second's worth. */
function createBudget(perSecond: number): (now: number) => boolean {
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
