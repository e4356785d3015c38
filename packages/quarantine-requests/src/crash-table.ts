/**
 * Crashes per request, and the quarantine decisions that follow from them. Records merge like a
 * set: their order and repetitions make no difference.
 */
import type { Millis } from '@limelead/types';
import ClearanceTable, { isInScope } from './clearance-table.js';
import type { CrashRecord, Quarantine, RunScope } from './crash-record.js';
import createPlaceholderCrashes from './create-placeholder-crashes.js';
import ExplainedEnds from './explained-ends.js';
import { findSurplusCrash } from './find-consecutive-crashes.js';
import judgeCrashes, {
  countCrashesNeeded,
  CRASHES_TO_QUARANTINE,
  type ChanceOf,
  type RequestStatus,
} from './judge-crashes.js';
import type { RequestIdentity } from './identify-request.js';
import RefutedCrashes from './refuted-crashes.js';
import RequestEntries, { type RequestEntry } from './request-entries.js';

/** A caller with this many quarantined requests on a route is flagged. */
const QUARANTINES_TO_FLAG_CALLER = 2;
/** A request's crashes are forgotten after this time without another one, in milliseconds. */
const CRASH_TTL_MS = 600_000;
/** Duration of a quarantine, in milliseconds. */
export const QUARANTINE_MS = 600_000;
/** Maximum number of crashes kept per request. */
const MAX_CRASHES_PER_REQUEST = 16;

/**
 * Why a crash does not count: its target answered later, another request ended it, or the request
 * has run without a crash since.
 */
export type CrashObjection = 'refuted' | 'explained' | 'cleared';

/** Crashes and quarantines known to one VM. */
export default class CrashTable {
  private readonly entries: RequestEntries;
  private readonly clearances = new ClearanceTable();
  private readonly explainedEnds = new ExplainedEnds();
  private readonly refutedCrashes = new RefutedCrashes();

  /** @param onDropped called with a request whose crashes are evicted for lack of space */
  constructor(
    private readonly chanceOf: ChanceOf,
    onDropped: (request: RequestIdentity) => void = () => undefined,
  ) {
    this.entries = new RequestEntries(onDropped);
  }

  get size(): number {
    return this.entries.size;
  }

  /** Number of requests that are quarantined now. */
  countQuarantined(now: Millis): number {
    return [...this.entries.keys()].filter(
      (request) => this.getStatus(request, now) === 'quarantined',
    ).length;
  }

  /** Whether any request has crashes or a quarantine. */
  get hasEntries(): boolean {
    return this.entries.size > 0;
  }

  /** Whether a request has crashes or a quarantine. */
  hasEntry(request: RequestIdentity): boolean {
    return this.entries.has(request);
  }

  /** Whether the software is known to have run the request without a crash lately. */
  wasCleared(crash: CrashRecord): boolean {
    return this.clearances.lastClearedAtMs(crash) !== undefined;
  }

  /** Why a crash does not count; undefined if it does, or is known. */
  findObjection(crash: CrashRecord, now: Millis): CrashObjection | undefined {
    const { request, target } = crash;
    if (this.refutedCrashes.has(request, target, now)) {
      return 'refuted';
    }
    if (this.explainedEnds.isByAnother(target, request)) {
      return 'explained';
    }
    return this.clearances.covers(crash) ? 'cleared' : undefined;
  }

  /** Adds a crash; returns false if it is known, refuted or without effect. */
  recordCrash(crash: CrashRecord, now: Millis): boolean {
    this.forgetExpired(now);
    const { request, target, service, caller } = crash;
    if (this.findObjection(crash, now) !== undefined) {
      return false;
    }
    const known = this.entries.get(request);
    if (known?.quarantinedAtMs !== undefined) {
      return this.explainEnd(target, request, now);
    }
    if (known?.crashes.has(target) === true) {
      return false;
    }
    const entry = this.entries.open(request, { service, caller }, now);
    entry.crashes.set(target, crash);
    if (this.judge(entry) === 'quarantined') {
      entry.quarantinedAtMs = now;
      [...entry.crashes.keys()].forEach((ended) => this.explainEnd(ended, request, now));
    } else if (entry.crashes.size > MAX_CRASHES_PER_REQUEST) {
      return this.evictCrash(entry, now) !== crash;
    }
    return true;
  }

  /** Removes a crash because its target is still running; returns false if that has no effect. */
  withdrawCrash(request: RequestIdentity, target: string, now: Millis): boolean {
    const entry = this.entries.get(request);
    this.refutedCrashes.record(request, target, now);
    if (
      entry === undefined ||
      entry.quarantinedAtMs !== undefined ||
      !entry.crashes.delete(target)
    ) {
      return false;
    }
    this.entries.deleteIfEmpty(request);
    return true;
  }

  /**
   * Drops the crashes of the software that ran a request without a crash; returns false if that
   * has no effect.
   * @param scope undefined if it holds for all software
   */
  clearRequest(
    request: RequestIdentity,
    scope: RunScope | undefined,
    atMs: Millis,
    now: Millis,
  ): boolean {
    const isNew = this.clearances.record(request, scope, atMs);
    const entry = this.entries.get(request);
    if (entry === undefined) {
      return isNew;
    }
    const isOlder = entry.quarantinedAtMs !== undefined && atMs < entry.quarantinedAtMs;
    const isElsewhere = entry.crashes.size === 0 && !isInScope(scope, { service: entry.service });
    if (isOlder || isElsewhere) {
      return false;
    }
    const cleared = [...entry.crashes.values()].filter(
      (crash) => isInScope(scope, crash) && crash.endedAtMs <= atMs,
    );
    for (const { target } of cleared) {
      this.refutedCrashes.record(request, target, now);
      entry.crashes.delete(target);
    }
    if (entry.crashes.size > 0) {
      return cleared.length > 0;
    }
    this.entries.delete(request);
    return true;
  }

  /**
   * Quarantines a request by decision of another VM or of an earlier process; returns false if it
   * is quarantined already.
   */
  quarantine(request: RequestIdentity, quarantine: Quarantine, now: Millis): boolean {
    if (this.getStatus(request, now) === 'quarantined') {
      return false;
    }
    this.entries.open(request, quarantine, now).quarantinedAtMs = now;
    return true;
  }

  /** Ends a quarantine; one more crash quarantines the request again. */
  release(request: RequestIdentity, now: Millis): void {
    const entry = this.entries.get(request);
    if (entry?.quarantinedAtMs === undefined) {
      return;
    }
    entry.quarantinedAtMs = undefined;
    const placeholders = createPlaceholderCrashes(request, entry, CRASHES_TO_QUARANTINE - 1, now);
    entry.crashes = new Map(placeholders.map((crash) => [crash.target, crash]));
    this.entries.moveToEnd(request, entry, now);
  }

  getStatus(request: RequestIdentity, now: Millis): RequestStatus {
    const entry = this.entries.get(request);
    if (entry === undefined) {
      return 'clear';
    }
    if (entry.quarantinedAtMs !== undefined) {
      if (now - entry.quarantinedAtMs < QUARANTINE_MS) {
        return 'quarantined';
      }
      this.release(request, now);
    }
    return this.judge(entry) === 'clear' ? 'clear' : 'suspected';
  }

  /** Duration of the longest run of a request that a target ended under, in milliseconds. */
  longestCrashMs(request: RequestIdentity): Millis {
    const crashes = this.listCrashes(request);
    return Math.max(0, ...crashes.map(({ startedAtMs, endedAtMs }) => endedAtMs - startedAtMs));
  }

  /** Time until the quarantine of a request ends, in milliseconds; 0 if it is not quarantined. */
  quarantineLeftMs(request: RequestIdentity, now: Millis): Millis {
    const since = this.entries.get(request)?.quarantinedAtMs;
    return since === undefined ? 0 : Math.max(0, since + QUARANTINE_MS - now);
  }

  /** Targets that crashed during a request, in the order of their crashes. */
  listCrashedTargets(request: RequestIdentity): string[] {
    return this.listCrashes(request).map(({ target }) => target);
  }

  listCrashes(request: RequestIdentity): CrashRecord[] {
    const crashes = [...(this.entries.get(request)?.crashes.values() ?? [])];
    return crashes.sort((a, b) => a.endedAtMs - b.endedAtMs);
  }

  /** All crashes, those of the most recently changed requests first. */
  listAllCrashes(): CrashRecord[] {
    return [...this.entries.values()].reverse().flatMap(({ crashes }) => [...crashes.values()]);
  }

  private judge({ caller, crashes }: RequestEntry): RequestStatus {
    const records = [...crashes.values()];
    const quarantined = [...this.entries.values()].filter(
      (entry) => entry.quarantinedAtMs !== undefined && entry.caller === caller,
    );
    const needed = countCrashesNeeded({
      hasRun: records.some((crash) => this.wasCleared(crash)),
      isCallerFlagged: quarantined.length >= QUARANTINES_TO_FLAG_CALLER,
    });
    return judgeCrashes(records, needed, this.chanceOf);
  }

  /** Drops the end of a target from the evidence against all requests but the one that caused it. */
  private explainEnd(target: string, request: RequestIdentity, now: Millis): boolean {
    for (const [other, entry] of this.entries) {
      if (
        other !== request &&
        entry.quarantinedAtMs === undefined &&
        entry.crashes.delete(target)
      ) {
        this.entries.deleteIfEmpty(other);
      }
    }
    return this.explainedEnds.record(target, request, now);
  }

  private forgetExpired(now: Millis): void {
    for (const [request, { changedAtMs, quarantinedAtMs }] of this.entries) {
      if (now - changedAtMs < CRASH_TTL_MS) {
        break;
      }
      this.release(request, now);
      if (quarantinedAtMs === undefined) {
        this.entries.delete(request);
      }
    }
    this.clearances.forgetExpired(now);
  }

  /**
   * Evicts the newest crash outside the series, and marks it as refuted so that a repeated update
   * does not restore it.
   */
  private evictCrash({ crashes }: RequestEntry, now: Millis): CrashRecord | undefined {
    const surplus = findSurplusCrash([...crashes.values()]);
    if (surplus !== undefined) {
      crashes.delete(surplus.target);
      this.refutedCrashes.record(surplus.request, surplus.target, now);
    }
    return surplus;
  }
}
