/**
 * The software versions at which streams of each service may have begun. Streams begin at a version
 * only once the store holds it, so a VM that reads the record knows of versions that it never saw.
 */
import type { DecisionLog } from '@limelead/decision-log';
import type { Metrics } from '@limelead/metrics';
import type { ConditionalStore } from '@limelead/ports';
import {
  backoffMs,
  type BackoffBounds,
  type CancelTimer,
  type Clock,
  type Millis,
  type Random,
  type Timers,
} from '@limelead/types';
import CoalescedReads from './coalesced-reads.js';
import planRecord from './plan-record.js';
import { NO_RECORD, type RecordedVersions } from './recorded-versions.js';
import { readRecord, writeRecord } from './record-calls.js';
import VersionPresence from './version-presence.js';
import WaitingVersions from './waiting-versions.js';

/** Longest wait for a read: two calls of a slow store, which answers within 320 ms. */
const READ_TIMEOUT_MS: Millis = 700;
/** Delays behind writes that failed. */
const WRITE_RETRIES: BackoffBounds = { firstMs: 500, maxMs: 10_000 };
/** The same behind writes that another VM's write forestalled. */
const CONFLICT_RETRIES: BackoffBounds = { firstMs: 20, maxMs: 10_000 };
/** Failures in a row behind which a conflict counts as a write that the store does not take. */
const MAX_CONFLICTS = 5;
/** VMs see a new version at the same moment; all but the first to write find it recorded. */
const WRITE_JITTER_PER_VM_MS: Millis = 1;
/** Time for which streams avoid a version that the store does not take. */
const HOLD_MS: Millis = 1_000;
/**
 * Time behind the start of a VM for which a version that no VM has recorded yet waits, while another
 * one serves. Streams that callers resume then have begun at a recorded one.
 */
const RETURN_MS: Millis = 2_000;
/** Interval at which versions without targets are checked for their end. */
const EXPIRY_CHECK_MS: Millis = 30_000;

/** Dependencies of `VersionRecord`. */
export interface VersionRecordOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  metrics: Pick<Metrics, 'count'>;
  store: ConditionalStore;
  keyOf(service: string): string;
  /** Services that have streams. */
  listServices(): readonly string[];
  hasStreams(service: string): boolean;
  /** Versions of the targets that a service has now, with repeats. */
  listPresent(service: string): string[];
  /** The same of targets that take new requests. */
  listUsable(service: string): string[];
  /** The record in this VM's view of the store; undefined if the view has none. */
  readView(service: string): RecordedVersions | undefined;
  /** Whether the view is recent. */
  isViewFresh(): boolean;
  countVms(): number;
  /** Time behind the last target of a version after which no stream of it is left. */
  ttlMs: Millis;
}

interface ServiceState {
  reads: CoalescedReads<readonly string[]>;
  presence: VersionPresence;
  /** The record as this VM last read or wrote it, possibly ahead of the view. */
  last: RecordedVersions | undefined;
  /** Revision of the view's record at the last check; undefined before the first. */
  checkedRevision: number | undefined;
  waiting: WaitingVersions;
  isWriting: boolean;
  /** Failed writes in a row, conflicts included. */
  failures: number;
  hasWriteFailed: boolean;
}

/** The record as one VM knows it. */
export default class VersionRecord {
  private readonly services = new Map<string, ServiceState>();
  private readonly startedAtMs: Millis;
  private nextCheck: { atMs: Millis; cancel: CancelTimer } | undefined;

  constructor(private readonly options: VersionRecordOptions) {
    this.startedAtMs = options.clock.now();
  }

  /** Handles a change of the view; what it does not concern costs nothing. */
  onViewChange(): void {
    for (const service of this.options.listServices()) {
      const revision = this.options.readView(service)?.revision ?? 0;
      if (this.services.get(service)?.checkedRevision !== revision) {
        this.check(service);
      }
    }
  }

  /** Handles a new target. */
  onTargetJoined(service: string, version: string): void {
    const isWaiting = this.services.get(service)?.waiting.has(version) === true;
    if (this.options.hasStreams(service) && !isWaiting && !this.isOpen(service, version)) {
      this.check(service);
    }
  }

  /** Handles the end of a target of the service. */
  onTargetGone(service: string): void {
    if (this.options.hasStreams(service)) {
      this.check(service);
    }
  }

  /** Forgets what was read and written, since the view is now of another store. */
  reset(): void {
    this.services.forEach((state) => (state.last = undefined));
  }

  /** The recorded versions of a service; undefined if this VM knows no record. */
  list(service: string): readonly string[] | undefined {
    const { versions, revision } = this.latest(service);
    return revision === 0 ? undefined : versions;
  }

  /** Whether streams may begin at a version, so that every later VM will know of it. */
  canBegin(service: string, version: string): boolean {
    if (!this.options.hasStreams(service) || this.isOpen(service, version)) {
      return true;
    }
    const state = this.services.get(service);
    return state?.hasWriteFailed === true && state.waiting.waitedMs(version) >= HOLD_MS;
  }

  /**
   * Reads the record from the store. `receive` is called once, with undefined if there is no record
   * or no answer in time.
   * @returns a function that cancels the read
   */
  read(service: string, receive: (versions: readonly string[] | undefined) => void): () => void {
    return this.stateOf(service).reads.ask(receive);
  }

  /** Whether the record holds the version, and no VM can be about to remove it. */
  private isOpen(service: string, version: string): boolean {
    const wasAbsent = this.services.get(service)?.presence.wasAbsent(version) === true;
    return !wasAbsent && this.latest(service).versions.includes(version);
  }

  /** The newer one of the view's record and of what this VM read or wrote. */
  private latest(service: string): RecordedVersions {
    const last = this.services.get(service)?.last ?? NO_RECORD;
    const viewed = this.options.readView(service) ?? NO_RECORD;
    return last.revision > viewed.revision ? last : viewed;
  }

  private check(service: string): void {
    const { isViewFresh, listPresent, readView } = this.options;
    const state = this.stateOf(service);
    const record = this.latest(service);
    const present = new Set(listPresent(service));
    state.checkedRevision = readView(service)?.revision ?? 0;
    state.presence.update(record, present, isViewFresh());
    state.waiting.update([...present].filter((version) => !this.isOpen(service, version)));
    if (this.plan(service) !== undefined) {
      this.scheduleWrite(service, state);
    }
    if (state.waiting.size > 0 && this.returnLeftMs > 0) {
      this.scheduleCheck(this.returnLeftMs);
    } else if (record.versions.some((version) => !present.has(version))) {
      this.scheduleCheck(EXPIRY_CHECK_MS);
    }
  }

  /** The versions to write; undefined if the record is right. */
  private plan(service: string): string[] | undefined {
    const { isViewFresh, ttlMs } = this.options;
    const { presence } = this.stateOf(service);
    const wanted = this.listWanted(service);
    return planRecord({
      ...{ recorded: this.latest(service).versions, wanted },
      hasReturned: (version) => wanted.has(version) && presence.wasAbsent(version),
      isExpired: (version) =>
        isViewFresh() && !wanted.has(version) && presence.absentMs(version) >= ttlMs,
    });
  }

  /** Present versions; behind the start of this VM only recorded ones, while one of these serves. */
  private listWanted(service: string): ReadonlySet<string> {
    const { listPresent, listUsable } = this.options;
    const recorded = this.latest(service).versions;
    const present = listPresent(service);
    const mustWait =
      this.returnLeftMs > 0 && listUsable(service).some((version) => recorded.includes(version));
    return new Set(mustWait ? present.filter((version) => recorded.includes(version)) : present);
  }

  private get returnLeftMs(): Millis {
    return this.startedAtMs + RETURN_MS - this.options.clock.now();
  }

  private scheduleWrite(service: string, state: ServiceState): void {
    if (state.isWriting) {
      return;
    }
    const { countVms, random, timers } = this.options;
    state.isWriting = true;
    const delayMs = random.next() * countVms() * WRITE_JITTER_PER_VM_MS;
    timers.after(delayMs, () => void this.write(service, state));
  }

  private async write(service: string, state: ServiceState): Promise<void> {
    const { keyOf, log, store } = this.options;
    const versions = this.plan(service);
    if (versions === undefined) {
      Object.assign(state, { isWriting: false, hasWriteFailed: false, failures: 0 });
      return;
    }
    const written = await writeRecord(store, keyOf(service), {
      ...{ versions, revision: this.latest(service).revision },
    });
    if (written.outcome === 'failed') {
      this.onWriteFailed(service, state, written.reason);
    } else if (written.outcome === 'mismatch') {
      await this.onConflict(service, state);
    } else {
      state.last = { versions, revision: written.revision };
      Object.assign(state, { isWriting: false, hasWriteFailed: false, failures: 0 });
      this.countWrite('written');
      log.write('versions-recorded', { service, versions, revision: written.revision });
      this.check(service);
    }
  }

  /** Another VM wrote first. */
  private async onConflict(service: string, state: ServiceState): Promise<void> {
    this.countWrite('mismatch');
    const versions = await this.readStore(service);
    if (versions === undefined) {
      this.onWriteFailed(service, state, 'the record cannot be read');
      return;
    }
    state.failures += 1;
    state.hasWriteFailed ||= state.failures >= MAX_CONFLICTS;
    this.check(service);
    this.retryWrite(service, state, CONFLICT_RETRIES);
  }

  private onWriteFailed(service: string, state: ServiceState, reason: string): void {
    state.failures += 1;
    state.hasWriteFailed = true;
    this.countWrite('failed');
    const unrecorded = state.waiting.list();
    this.options.log.write('version-record-failed', { service, unrecorded, reason });
    this.retryWrite(service, state, WRITE_RETRIES);
  }

  private retryWrite(service: string, state: ServiceState, bounds: BackoffBounds): void {
    const { random, timers } = this.options;
    timers.after(
      backoffMs(state.failures, bounds, random.next()),
      () => void this.write(service, state),
    );
  }

  /** Reads the record; undefined if there is no readable one, or no answer. */
  private async readStore(service: string): Promise<readonly string[] | undefined> {
    const { keyOf, store } = this.options;
    const read = await readRecord(store, keyOf(service));
    const state = this.stateOf(service);
    if (read !== undefined && read.revision > (state.last?.revision ?? 0)) {
      state.last = read;
    }
    return read?.versions;
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const reads = new CoalescedReads(this.options.timers, READ_TIMEOUT_MS, () =>
      this.readStore(service),
    );
    const state: ServiceState = {
      ...{ reads, presence: new VersionPresence(this.options.clock), last: undefined },
      ...{ checkedRevision: undefined, waiting: new WaitingVersions(this.options.clock) },
      ...{ isWriting: false, failures: 0, hasWriteFailed: false },
    };
    this.services.set(service, state);
    return state;
  }

  /** Checks all services after the delay, or sooner if an earlier check is due. */
  private scheduleCheck(delayMs: Millis): void {
    const { clock, listServices, timers } = this.options;
    const atMs = clock.now() + delayMs;
    if (this.nextCheck !== undefined && this.nextCheck.atMs <= atMs) {
      return;
    }
    this.nextCheck?.cancel();
    const cancel = timers.after(delayMs, () => {
      this.nextCheck = undefined;
      listServices().forEach((service) => this.check(service));
    });
    this.nextCheck = { atMs, cancel };
  }

  private countWrite(outcome: string): void {
    this.options.metrics.count('limelead_version_record_writes_total', 1, { outcome });
  }
}
