/** The table of targets. Every method that depends on time takes the present time. */
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
  adoptOpen,
  CLOSED_BREAKER,
  noteFailure,
  noteSuccess,
  noteTrial,
  readBreaker,
  type Breaker,
} from './breaker.js';

/** Prefixes remembered for one target; the oldest are forgotten first. */
const MAX_KNOWN_PREFIXES = 4096;
/** A report is believed for this long. */
const REPORT_MAX_AGE_MS = 10_000;

/** Why a target can or can't take new work. */
export type TargetState = 'usable' | 'leaving' | 'stale' | 'broken';

/** One target as this VM sees it. */
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
  /** Times at which this VM sent work that the report can't show yet. */
  sentAtMs: Millis[];
  /** Requests of this VM that are open there. */
  inFlight: number;
  /** Input tokens that this VM sent there and that have not led to a first token yet. */
  prefillPending: number;
  /** Hashes of prompt prefixes believed to be in the target's cache. */
  prefixes: Set<string>;
  cacheSequence: number;
  breaker: Breaker;
}

/** Limits on how old evidence may be. */
export interface EvidenceLimits {
  /** A target takes new work only while the list said so at most this long ago. */
  maxListAgeMs: number;
}

/** The table of one VM. */
export interface TargetTable {
  /** Takes the list as read at `readAtMs`; an older list than the known one is ignored. */
  applyList(list: VmList, readAtMs: Millis): TargetId[];
  /** The newest list taken, and when it was read. */
  list(): { list: VmList; readAtMs: Millis };
  applyReport(id: TargetId, report: LoadReport, now: Millis): void;
  applyCacheEvents(id: TargetId, events: CacheEvent[]): void;
  /** The target just processed this prompt, so its prefixes are in its cache. */
  notePrompt(id: TargetId, prefixHashes: string[]): void;
  noteSent(id: TargetId, now: Millis): void;
  noteDone(id: TargetId): void;
  /** Input that was sent and waits for its first token; negative once it came or was given up. */
  notePrefill(id: TargetId, tokens: number): void;
  noteSuccess(id: TargetId): void;
  /** Says whether the breaker opened by this failure. */
  noteFailure(id: TargetId, now: Millis): boolean;
  adoptOpenBreaker(id: TargetId, openUntilMs: Millis): boolean;
  stateOf(target: TrackedTarget, now: Millis): TargetState;
  find(id: TargetId): TrackedTarget | undefined;
  all(): TrackedTarget[];
  /** Engines that take new work now; with a version, those that have it loaded. */
  usableEngines(now: Millis, version?: ModelVersion): TrackedTarget[];
  usablePlain(service: string, now: Millis): TrackedTarget[];
  /** Says whether any target has the version, also one that takes no new work now. */
  hasVersion(version: ModelVersion, now: Millis): boolean;
}

/** Creates an empty table. */
export default function createTargetTable(limits: EvidenceLimits): TargetTable {
  const targets = new Map<TargetId, TrackedTarget>();
  let newest: VmList = { version: 0, vms: [] };
  let readAt: Millis = Number.NEGATIVE_INFINITY;

  function applyList(list: VmList, readAtMs: Millis): TargetId[] {
    if (list.version < newest.version) {
      return [];
    }
    const changed = list.version > newest.version ? replaceTargets(targets, list) : [];
    newest = list;
    readAt = Math.max(readAt, readAtMs);
    return changed;
  }

  function stateOf(target: TrackedTarget, now: Millis): TargetState {
    if (target.leaving) {
      return 'leaving';
    }
    if (now - readAt > limits.maxListAgeMs) {
      return 'stale';
    }
    return readBreaker(target.breaker, now) === 'open' ? 'broken' : 'usable';
  }

  function usable(role: VmRole, now: Millis): TrackedTarget[] {
    return [...targets.values()].filter(
      (target) => target.role === role && stateOf(target, now) === 'usable',
    );
  }

  function change(id: TargetId, apply: (target: TrackedTarget) => void): void {
    const target = targets.get(id);
    if (target !== undefined) {
      apply(target);
    }
  }

  return {
    applyList,
    stateOf,
    list: () => ({ list: newest, readAtMs: readAt }),
    find: (id) => targets.get(id),
    all: () => [...targets.values()],
    applyReport: (id, report, now) => change(id, (target) => takeReport(target, report, now)),
    applyCacheEvents: (id, events) => change(id, (target) => takeCacheEvents(target, events)),
    notePrompt: (id, hashes) => change(id, (target) => rememberPrefixes(target, hashes)),
    noteSent: (id, now) =>
      change(id, (target) => {
        target.inFlight += 1;
        target.sentAtMs = [...dropOlderThan(target.sentAtMs, now - REPORT_MAX_AGE_MS), now];
        target.breaker = noteTrial(target.breaker, now);
      }),
    noteDone: (id) => change(id, (target) => void (target.inFlight -= 1)),
    notePrefill: (id, tokens) => change(id, (target) => void (target.prefillPending += tokens)),
    noteSuccess: (id) => change(id, (target) => void (target.breaker = noteSuccess())),
    noteFailure: (id, now) => {
      const before = targets.get(id)?.breaker;
      change(id, (target) => void (target.breaker = noteFailure(target.breaker, now)));
      return before !== undefined && targets.get(id)?.breaker.openUntilMs !== before.openUntilMs;
    },
    adoptOpenBreaker: (id, openUntilMs) => {
      const before = targets.get(id)?.breaker;
      change(id, (target) => void (target.breaker = adoptOpen(target.breaker, openUntilMs)));
      return before !== undefined && targets.get(id)?.breaker !== before;
    },
    usableEngines: (now, version) =>
      usable('engine', now).filter(
        (target) => version === undefined || hasLoaded(target, version, now),
      ),
    hasVersion: (version, now) =>
      [...targets.values()].some((target) => hasLoaded(target, version, now)),
    usablePlain: (service, now) =>
      usable('plain', now).filter((target) => target.services.includes(service)),
  };
}

/** Requests that wait or run at the target: its report, and what this VM sent since. */
export function estimateLoad(target: TrackedTarget): number {
  const reported = target.report === undefined ? 0 : target.report.running + target.report.waiting;
  return Math.max(reported + target.sentAtMs.length, target.inFlight);
}

function hasLoaded(target: TrackedTarget, version: ModelVersion, now: Millis): boolean {
  if (target.report === undefined || now - target.reportAtMs > REPORT_MAX_AGE_MS) {
    return false;
  }
  return target.report.loaded.some((loaded) => isSameModelVersion(loaded, version));
}

function replaceTargets(targets: Map<TargetId, TrackedTarget>, list: VmList): TargetId[] {
  const listed = list.vms.filter((vm) => vm.role !== 'entry');
  const kept = new Set(listed.map((vm) => vm.id));
  const changed: TargetId[] = [];
  for (const id of [...targets.keys()]) {
    if (!kept.has(id)) {
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
  const fresh = known ?? createTarget(vm);
  Object.assign(fresh, vm);
  targets.set(vm.id, fresh);
  return !isSame;
}

function createTarget(vm: ListedVm): TrackedTarget {
  return {
    ...vm,
    reportAtMs: Number.NEGATIVE_INFINITY,
    sentAtMs: [],
    inFlight: 0,
    prefillPending: 0,
    prefixes: new Set(),
    cacheSequence: 0,
    breaker: CLOSED_BREAKER,
  };
}

function takeReport(target: TrackedTarget, report: LoadReport, now: Millis): void {
  if (target.report !== undefined && report.takenAtMs < target.report.takenAtMs) {
    return;
  }
  target.report = report;
  target.reportAtMs = now;
  target.sentAtMs = target.sentAtMs.filter((sentAt) => sentAt >= report.takenAtMs);
}

/** Entries are in order, and mostly none is too old. */
function dropOlderThan(times: Millis[], limit: Millis): Millis[] {
  const firstKept = times.findIndex((time) => time >= limit);
  return firstKept === -1 ? [] : times.slice(firstKept);
}

function takeCacheEvents(target: TrackedTarget, events: CacheEvent[]): void {
  for (const event of events) {
    if (event.sequence <= target.cacheSequence) {
      continue;
    }
    target.cacheSequence = event.sequence;
    if (event.change === 'stored') {
      rememberPrefixes(target, [event.prefixHash]);
    } else {
      target.prefixes.delete(event.prefixHash);
    }
  }
}

function rememberPrefixes(target: TrackedTarget, hashes: string[]): void {
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
