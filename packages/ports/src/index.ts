/** Interfaces to the outside systems that limelead calls. */
import type { PortFault } from '@limelead/errors';
import type {
  AttachOrder,
  CacheEvent,
  EngineMessage,
  LoadReport,
  ModelVersion,
  PlacementOrder,
  StartOrder,
  VmList,
} from '@limelead/types';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

/** A call to an outside system. A failure is a `PortFault`; the call never throws. */
export type PortCall<Value> = TaskEither<PortFault, Value>;

/** The stream of an engine's response. A slow reader exerts back pressure on the connection. */
export interface EngineStream {
  /** Resolves with the next message, or undefined if the stream ended without an `end` message. */
  read(): Promise<EngineMessage | undefined>;
  /** Closes the connection without cancelling the generation. */
  close(): void;
}

/** The client of one model engine. */
export interface ModelEngine {
  start(order: StartOrder, signal: AbortSignal): PortCall<EngineStream>;
  attach(order: AttachOrder, signal: AbortSignal): PortCall<EngineStream>;
  /** Stops a generation and frees its capacity at the engine. */
  cancel(generationId: string, attempt: number): PortCall<void>;
  /** Checks whether the engine is still running a generation. */
  probe(generationId: string): PortCall<boolean>;
  reportLoad(): PortCall<LoadReport>;
  readCacheEvents(afterSequence: number): PortCall<CacheEvent[]>;
  /** Exports the KV cache of a generation and gives the name of the exported copy. */
  exportKv(generationId: string): PortCall<string>;
  /** Imports an exported KV cache, so that a later `start` need not recompute its prefix. */
  importKv(copy: string): PortCall<void>;
  order(order: PlacementOrder): PortCall<void>;
}

/** A call to a plain service. */
export interface PlainCall {
  requestId: string;
  operation: string;
  body: Uint8Array;
  timeoutMs: number;
}

/** The response of a plain service. */
export interface PlainAnswer {
  status: number;
  body: Uint8Array;
}

/** The client of one plain service on one target. Sends each call at most once. */
export interface PlainServiceTarget {
  call(call: PlainCall): PortCall<PlainAnswer>;
}

/** A value and its version for compare-and-swap; version 0 means that the key does not exist. */
export interface StoredValue {
  version: number;
  value: string;
}

/** Result of a compare-and-swap. */
export type SwapOutcome =
  { kind: 'swapped'; version: number } | { kind: 'mismatch'; current: StoredValue };

/** A lease of the platform's key-value service. The epoch increases with each change of holder. */
export interface Lease {
  name: string;
  holder: string;
  epoch: number;
  /** Milliseconds until the lease expires, by the clock of the service. */
  remainingMs: number;
}

/** The platform's key-value service. Every call counts towards its rate limit. */
export interface KeyValueStore {
  get(key: string): PortCall<StoredValue>;
  /** After a `PortFault` with `sent: 'maybe'`, the swap may or may not have taken effect. */
  compareAndSwap(key: string, expectedVersion: number, value: string): PortCall<SwapOutcome>;
  delete(key: string, expectedVersion: number): PortCall<boolean>;
  /** Waits up to `waitMs` until the version of the key exceeds `afterVersion`. */
  watch(key: string, afterVersion: number, waitMs: number): PortCall<StoredValue>;
  /** Acquires or renews a lease. Gives the current lease, which may have another holder. */
  acquireLease(name: string, holder: string, ttlMs: number): PortCall<Lease>;
  releaseLease(name: string, holder: string): PortCall<void>;
}

/** An item of a `ConditionalStore`. */
export interface StoreEntry {
  key: string;
  value: Buffer;
  /** Store-wide revision of the last write to the item; it increases with every write. */
  revision: number;
}

/** One change within an atomic write. */
export type StoreWrite =
  /** @property lease id of the lease at whose end the item is deleted; undefined for none */
  { kind: 'put'; key: string; value: Buffer; lease?: number } | { kind: 'remove'; key: string };

/** The revision that an item must have for a write; 0 means that the key must not exist. */
export interface WriteCondition {
  key: string;
  revision: number;
}

/** Result of a conditional write. */
export type WriteOutcome =
  | { kind: 'written'; revision: number }
  /** A condition does not hold; nothing was written. */
  | { kind: 'mismatch' }
  /** The lease of a put has ended; nothing was written. */
  | { kind: 'lease-gone' };

/** A lease that items of a store can be bound to. */
export interface GrantedLease {
  /** Id of the lease. */
  lease: number;
  /** Lifetime in milliseconds as granted by the store, from the arrival of the call. */
  ttlMs: number;
}

/**
 * A store with linearizable reads and conditional writes. A call that fails with
 * `sent: 'maybe'` may already have taken effect, or may take effect seconds later.
 */
export interface ConditionalStore {
  /** Gives undefined if the key does not exist. */
  read(key: string): PortCall<StoreEntry | undefined>;
  write(conditions: WriteCondition[], writes: StoreWrite[]): PortCall<WriteOutcome>;
  grantLease(ttlMs: number): PortCall<GrantedLease>;
  /** Gives false if the lease has ended. */
  renewLease(lease: number): PortCall<boolean>;
  endLease(lease: number): PortCall<void>;
}

/** Proof of holding a duty, sent with each call that only the duty's holder may make. */
export interface DutyCredentials {
  /** Name of the VM that holds the duty. */
  holder: string;
  /** Fencing token; it increases with each change of holder. */
  token: number;
}

/** Number of requests per organisation that targets began in one usage window. */
export interface UsageReport {
  /** Number of the window; window 0 starts at the Unix epoch, in true time. */
  window: number;
  counts: ReadonlyMap<string, number>;
}

/** The number of targets of a service that a failure domain should have. */
export interface TargetOrder {
  service: string;
  failureDomain: string;
  count: number;
  /** Whether the order is for spot targets; they are ordered separately from regular ones. */
  isSpot: boolean;
}

/** The platform's answer to a call made under a duty. */
export type DutyAnswer =
  /** The call is accepted. */
  | 'taken'
  /** The token is outdated or, for an order of spot targets, none is available. */
  | 'refused'
  /** The rate limit for calls is exceeded. */
  | 'too-many'
  /** The call is invalid; callers retry it a few times at most. */
  | 'invalid';

/** The platform's calls that only the holder of a duty may make. */
export interface DutyPlatform {
  reportUsage(credentials: DutyCredentials, report: UsageReport): PortCall<DutyAnswer>;
  orderTargets(credentials: DutyCredentials, order: TargetOrder): PortCall<DutyAnswer>;
}

/** The platform's list of live and leaving VMs; it lags behind the true state. */
export interface VmListSource {
  read(): PortCall<VmList>;
}

/** The store of model weights; its calls are rate-limited. */
export interface WeightStore {
  /** Gives the size of a version's weights in bytes. */
  getSizeBytes(version: ModelVersion): PortCall<number>;
}

/** Creates clients for targets by their addresses. */
export interface TargetConnector {
  engine(host: string, port: number): ModelEngine;
  /** Hashes the prompt's prefixes at block boundaries as engines do, shortest first. */
  hashPrompt(prompt: string): string[];
  plainService(host: string, port: number, service: string): PlainServiceTarget;
}
