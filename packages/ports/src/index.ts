/** The narrow interfaces to every outside system. Each has one adapter. */
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

/** A call to an outside system; it fails with a PortFault and never throws. */
export type PortCall<Value> = TaskEither<PortFault, Value>;

/** An engine's stream. Reading is pulled, so a slow reader slows the engine's link. */
export interface EngineStream {
  /** Resolves with the next message, or undefined where the stream closed without an end marker. */
  read(): Promise<EngineMessage | undefined>;
  /** Closes the link; does not cancel the generation. */
  close(): void;
}

/** One model engine. */
export interface ModelEngine {
  start(order: StartOrder, signal: AbortSignal): PortCall<EngineStream>;
  attach(order: AttachOrder, signal: AbortSignal): PortCall<EngineStream>;
  /** Stops a generation so that it costs no more engine work. */
  cancel(generationId: string, attempt: number): PortCall<void>;
  /** Says whether the engine is still working on a generation. */
  probe(generationId: string): PortCall<boolean>;
  reportLoad(): PortCall<LoadReport>;
  readCacheEvents(afterSequence: number): PortCall<CacheEvent[]>;
  /** Copies the KV cache of a generation out of the engine; the text names the copy. */
  exportKv(generationId: string): PortCall<string>;
  /** Takes over a copy, so that a following start behind a forced prefix needs no recomputing. */
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

/** A plain service's answer. */
export interface PlainAnswer {
  status: number;
  body: Uint8Array;
}

/** One plain service on one target. Sends each call at most once. */
export interface PlainServiceTarget {
  call(call: PlainCall): PortCall<PlainAnswer>;
}

/** A value and the version that compare-and-swap compares; version 0 is an absent key. */
export interface StoredValue {
  version: number;
  value: string;
}

/** What became of a compare-and-swap. */
export type SwapOutcome =
  { kind: 'swapped'; version: number } | { kind: 'mismatch'; current: StoredValue };

/** A lease on the platform's service; the epoch grows with each change of holder. */
export interface Lease {
  name: string;
  holder: string;
  epoch: number;
  /** Milliseconds until it lapses, as the service sees it. */
  remainingMs: number;
}

/** The platform's key-value service. Every call counts against its rate. */
export interface KeyValueStore {
  get(key: string): PortCall<StoredValue>;
  /** A PortFault with `sent: 'maybe'` leaves open whether the swap took effect. */
  compareAndSwap(key: string, expectedVersion: number, value: string): PortCall<SwapOutcome>;
  delete(key: string, expectedVersion: number): PortCall<boolean>;
  /** Waits until the key's version is above `afterVersion` or the wait ends. */
  watch(key: string, afterVersion: number, waitMs: number): PortCall<StoredValue>;
  /** Takes or renews a lease; gives the present one, whoever holds it. */
  acquireLease(name: string, holder: string, ttlMs: number): PortCall<Lease>;
  releaseLease(name: string, holder: string): PortCall<void>;
}

/** An item of a store that writes under conditions. */
export interface StoreEntry {
  key: string;
  value: Buffer;
  /** Store-wide number of the change that wrote it; later changes have higher numbers. */
  revision: number;
}

/** One change of a write that does everything or nothing. */
export type StoreWrite =
  /** @property lease the item goes when this lease ends; undefined where it stays */
  { kind: 'put'; key: string; value: Buffer; lease?: number } | { kind: 'remove'; key: string };

/** What has to stand for a write to be done; revision 0: the key is not there. */
export interface WriteCondition {
  key: string;
  revision: number;
}

/** What became of a conditional write. */
export type WriteOutcome =
  | { kind: 'written'; revision: number }
  /** A condition does not hold. */
  | { kind: 'mismatch' }
  /** The lease of a put is over. */
  | { kind: 'lease-gone' };

/** A lease that items of a store can hang on. */
export interface GrantedLease {
  lease: number;
  /** Time that it lasts from when the call arrived, as the store decided. */
  ttlMs: number;
}

/**
 * A store with linearizable reads and writes under conditions. A write or a lease that
 * fails with `sent: 'maybe'` may be done already, or be done seconds later.
 */
export interface ConditionalStore {
  /** Undefined where the key is not there. */
  read(key: string): PortCall<StoreEntry | undefined>;
  write(conditions: WriteCondition[], writes: StoreWrite[]): PortCall<WriteOutcome>;
  grantLease(ttlMs: number): PortCall<GrantedLease>;
  /** False where the lease is over. */
  renewLease(lease: number): PortCall<boolean>;
  endLease(lease: number): PortCall<void>;
}

/** What every call that only one VM at a time may make carries. */
export interface DutyCredentials {
  /** Name of the VM. */
  holder: string;
  /** Higher for each later holder. */
  token: number;
}

/** Requests of each organisation that targets began in one window of time. */
export interface UsageReport {
  /** Number of the window: window 0 begins with 1970, in true time. */
  window: number;
  counts: ReadonlyMap<string, number>;
}

/** Number of targets that a failure domain should have. */
export interface TargetOrder {
  service: string;
  failureDomain: string;
  count: number;
  /** Plain and spot targets are ordered apart. */
  isSpot: boolean;
}

/** What the platform says to a call of a duty. */
export type DutyAnswer =
  | 'taken'
  /** An outdated token, or no spot target to be had now: the order's kind tells which. */
  | 'refused'
  /** Too many calls now. */
  | 'too-many'
  /** The platform calls it invalid; it is repeated a few times at most. */
  | 'invalid';

/** The platform's calls that only one VM at a time may make. */
export interface DutyPlatform {
  reportUsage(credentials: DutyCredentials, report: UsageReport): PortCall<DutyAnswer>;
  orderTargets(credentials: DutyCredentials, order: TargetOrder): PortCall<DutyAnswer>;
}

/** The platform's lagging list of live and leaving VMs. */
export interface VmListSource {
  read(): PortCall<VmList>;
}

/** The rate-limited store of model weights. */
export interface WeightStore {
  /** Bytes of a version's weights. */
  getSizeBytes(version: ModelVersion): PortCall<number>;
}

/** Gives the adapter for a target's address. */
export interface TargetConnector {
  engine(host: string, port: number): ModelEngine;
  /** Hashes of the prompt's prefixes at block boundaries, shortest first, as engines publish them. */
  hashPrompt(prompt: string): string[];
  plainService(host: string, port: number, service: string): PlainServiceTarget;
}
