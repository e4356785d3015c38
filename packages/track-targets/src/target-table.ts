/** Table of targets. Methods that depend on time take the present time. */
import type {
  CacheEvent,
  ListedVm,
  LoadReport,
  Millis,
  ModelVersion,
  TargetId,
  VmList,
  VmRole,
} from '@limelead/types';
import { isSameModelVersion } from '@limelead/types';
import {
  breakerAfterPeerOpen,
  CLOSED_BREAKER,
  breakerAfterFailure,
  breakerAfterSuccess,
  breakerAfterSend,
  getBreakerState,
  type Breaker,
} from './breaker.js';

/** Maximum number of prefixes per target; the least recently added are evicted first. */
const MAX_KNOWN_PREFIXES = 4096;
/** Maximum age of a report that is used. */
const MAX_REPORT_AGE_MS = 10_000;

/** Whether a target accepts new requests, or why not. */
export type TargetState = 'usable' | 'leaving' | 'stale' | 'broken';

/** One target as this VM knows it. */
export interface TrackedTarget {
  id: TargetId;
  role: VmRole;
  host: string;
  port: number;
  failureDomain: string;
  services: string[];
  leaving: boolean;
  report?: LoadReport;
  reportAtMs: Millis;
  /** Times of requests from this VM that the report can't include yet. */
  sentAtMs: Millis[];
  /** Open requests of this VM. */
  inFlight: number;
  /** Input tokens that this VM sent and that await their first output token. */
  pendingPrefillTokens: number;
  /** Hashes of prompt prefixes assumed to be in the target's cache. */
  prefixes: Set<string>;
  cacheSequence: number;
  breaker: Breaker;
}

/** Limits on the age of data. */
export interface TargetTableOptions {
  /** Targets accept new requests only while the list is at most this old. */
  maxListAgeMs: number;
}

/** The targets of one VM. */
export interface TargetTable {
  /** Applies a list unless a newer one is known; returns the targets that changed. */
  applyList(list: VmList, readAtMs: Millis): TargetId[];
  /** The newest list, and when it was read. */
  list(): { list: VmList; readAtMs: Millis };
  applyReport(id: TargetId, report: LoadReport, now: Millis): void;
  applyCacheEvents(id: TargetId, events: CacheEvent[]): void;
  /** Records that the target processed a prompt, so that its prefixes are in the cache. */
  recordPrompt(id: TargetId, prefixHashes: string[]): void;
  recordRequestSent(id: TargetId, now: Millis): void;
  recordRequestDone(id: TargetId): void;
  /**
   * Adds input tokens that await their first output token; negative when it arrived or was given
   * up.
   */
  addPendingPrefill(id: TargetId, tokens: number): void;
  recordSuccess(id: TargetId): void;
  /** Returns true if the failure opened the breaker. */
  recordFailure(id: TargetId, now: Millis): boolean;
  adoptOpenBreaker(id: TargetId, openUntilMs: Millis): boolean;
  getState(target: TrackedTarget, now: Millis): TargetState;
  find(id: TargetId): TrackedTarget | undefined;
  all(): TrackedTarget[];
  /** Engines that accept new requests; with a version, only those that have it loaded. */
  listUsableEngines(now: Millis, version?: ModelVersion): TrackedTarget[];
  listUsablePlain(service: string, now: Millis): TrackedTarget[];
  /** Whether any target has the version loaded, even if it accepts no new requests. */
  hasVersion(version: ModelVersion, now: Millis): boolean;
}

/** Creates an empty table. */
export default function createTargetTable(options: TargetTableOptions): TargetTable {
  const targets = new Map<TargetId, TrackedTarget>();
  let newestList: VmList = { version: 0, vms: [] };
  let newestReadAtMs: Millis = Number.NEGATIVE_INFINITY;

  function applyList(list: VmList, readAtMs: Millis): TargetId[] {
    if (list.version < newestList.version) {
      return [];
    }
    const changed = list.version > newestList.version ? replaceListedTargets(targets, list) : [];
    newestList = list;
    newestReadAtMs = Math.max(newestReadAtMs, readAtMs);
    return changed;
  }

  function getState(target: TrackedTarget, now: Millis): TargetState {
    if (target.leaving) {
      return 'leaving';
    }
    if (now - newestReadAtMs > options.maxListAgeMs) {
      return 'stale';
    }
    return getBreakerState(target.breaker, now) === 'open' ? 'broken' : 'usable';
  }

  function listUsable(role: VmRole, now: Millis): TrackedTarget[] {
    return [...targets.values()].filter(
      (target) => target.role === role && getState(target, now) === 'usable',
    );
  }

  function update(id: TargetId, change: (target: TrackedTarget) => void): void {
    const target = targets.get(id);
    if (target !== undefined) {
      change(target);
    }
  }

  return {
    applyList,
    getState,
    list: () => ({ list: newestList, readAtMs: newestReadAtMs }),
    find: (id) => targets.get(id),
    all: () => [...targets.values()],
    applyReport: (id, report, now) => update(id, (target) => applyLoadReport(target, report, now)),
    applyCacheEvents: (id, events) => update(id, (target) => applyCacheEventsTo(target, events)),
    recordPrompt: (id, hashes) => update(id, (target) => addPrefixes(target, hashes)),
    recordRequestSent: (id, now) =>
      update(id, (target) => {
        target.inFlight += 1;
        target.sentAtMs = [...dropOlderThan(target.sentAtMs, now - MAX_REPORT_AGE_MS), now];
        target.breaker = breakerAfterSend(target.breaker, now);
      }),
    recordRequestDone: (id) => update(id, (target) => void (target.inFlight -= 1)),
    addPendingPrefill: (id, tokens) =>
      update(id, (target) => void (target.pendingPrefillTokens += tokens)),
    recordSuccess: (id) => update(id, (target) => void (target.breaker = breakerAfterSuccess())),
    recordFailure: (id, now) => {
      const before = targets.get(id)?.breaker;
      update(id, (target) => void (target.breaker = breakerAfterFailure(target.breaker, now)));
      return before !== undefined && targets.get(id)?.breaker.openUntilMs !== before.openUntilMs;
    },
    adoptOpenBreaker: (id, openUntilMs) => {
      const before = targets.get(id)?.breaker;
      update(
        id,
        (target) => void (target.breaker = breakerAfterPeerOpen(target.breaker, openUntilMs)),
      );
      return before !== undefined && targets.get(id)?.breaker !== before;
    },
    listUsableEngines: (now, version) =>
      listUsable('engine', now).filter(
        (target) => version === undefined || hasLoaded(target, version, now),
      ),
    hasVersion: (version, now) =>
      [...targets.values()].some((target) => hasLoaded(target, version, now)),
    listUsablePlain: (service, now) =>
      listUsable('plain', now).filter((target) => target.services.includes(service)),
  };
}

/**
 * Waiting and running requests at the target: those of its report plus those that this VM sent
 * since.
 */
export function estimateLoad(target: TrackedTarget): number {
  const reported = target.report === undefined ? 0 : target.report.running + target.report.waiting;
  return Math.max(reported + target.sentAtMs.length, target.inFlight);
}

function hasLoaded(target: TrackedTarget, version: ModelVersion, now: Millis): boolean {
  if (target.report === undefined || now - target.reportAtMs > MAX_REPORT_AGE_MS) {
    return false;
  }
  return target.report.loaded.some((loaded) => isSameModelVersion(loaded, version));
}

function replaceListedTargets(targets: Map<TargetId, TrackedTarget>, list: VmList): TargetId[] {
  const listed = list.vms.filter((vm) => vm.role !== 'entry');
  const listedIds = new Set(listed.map((vm) => vm.id));
  const changed: TargetId[] = [];
  for (const id of [...targets.keys()]) {
    if (!listedIds.has(id)) {
      targets.delete(id);
      changed.push(id);
    }
  }
  for (const vm of listed) {
    if (upsert(targets, vm)) {
      changed.push(vm.id);
    }
  }
  return changed;
}

function upsert(targets: Map<TargetId, TrackedTarget>, vm: ListedVm): boolean {
  const known = targets.get(vm.id);
  const isSame =
    known !== undefined &&
    known.leaving === vm.leaving &&
    known.host === vm.host &&
    known.port === vm.port;
  const target = known ?? createTarget(vm);
  Object.assign(target, vm);
  targets.set(vm.id, target);
  return !isSame;
}

function createTarget(vm: ListedVm): TrackedTarget {
  return {
    ...vm,
    reportAtMs: Number.NEGATIVE_INFINITY,
    sentAtMs: [],
    inFlight: 0,
    pendingPrefillTokens: 0,
    prefixes: new Set(),
    cacheSequence: 0,
    breaker: CLOSED_BREAKER,
  };
}

function applyLoadReport(target: TrackedTarget, report: LoadReport, now: Millis): void {
  if (target.report !== undefined && report.takenAtMs < target.report.takenAtMs) {
    return;
  }
  target.report = report;
  target.reportAtMs = now;
  target.sentAtMs = target.sentAtMs.filter((sentAt) => sentAt >= report.takenAtMs);
}

/** Times are in ascending order. */
function dropOlderThan(times: Millis[], limit: Millis): Millis[] {
  const firstKept = times.findIndex((time) => time >= limit);
  return firstKept === -1 ? [] : times.slice(firstKept);
}

function applyCacheEventsTo(target: TrackedTarget, events: CacheEvent[]): void {
  for (const event of events) {
    if (event.sequence <= target.cacheSequence) {
      continue;
    }
    target.cacheSequence = event.sequence;
    if (event.change === 'stored') {
      addPrefixes(target, [event.prefixHash]);
    } else {
      target.prefixes.delete(event.prefixHash);
    }
  }
}

function addPrefixes(target: TrackedTarget, hashes: string[]): void {
  for (const hash of hashes) {
    target.prefixes.delete(hash);
    target.prefixes.add(hash);
  }
  for (const oldest of target.prefixes) {
    if (target.prefixes.size <= MAX_KNOWN_PREFIXES) {
      break;
    }
    target.prefixes.delete(oldest);
  }
}
