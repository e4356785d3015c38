/** Writes pending origins to the store in groups; at most one write is under way. */
import type { DecisionLog } from '@limelead/decision-log';
import type { PortFault } from '@limelead/errors';
import type { Metrics } from '@limelead/metrics';
import type { ConditionalStore, WriteOutcome } from '@limelead/ports';
import type { OriginStore } from '@limelead/track-origins';
import {
  backoffMs,
  type CancelTimer,
  type Clock,
  type Millis,
  type Random,
  type StreamKey,
  type StreamOrigin,
  type Timers,
} from '@limelead/types';
import * as E from 'fp-ts/lib/Either.js';
import digestStream from './digest-stream.js';
import PendingOrigins, { toPending, type PendingOrigin } from './pending-origins.js';
import {
  groupIntervalMs,
  planGroup,
  WRITE_RETRIES,
  type GroupPlan,
  type OpenSegment,
} from './plan-group.js';
import { encodeSegment } from './segment-item.js';
import type StoredOrigins from './stored-origins.js';

/** Age at which a VM writes its own streams, whose writer may be lost or without the store. */
const OWN_FALLBACK_MS: Millis = 1_000;
/** Interval at which a VM looks at streams that others should have written. */
const CHECK_INTERVAL_MS: Millis = 250;
/** Time within which peers and the store tell the same stream. */
const TELLING_MS: Millis = 1_000;

/** Dependencies of `OriginWriter`. */
export interface OriginWriterOptions {
  clock: Clock;
  timers: Timers;
  random: Random;
  log: DecisionLog;
  metrics: Pick<Metrics, 'count' | 'gauge'>;
  store: Pick<ConditionalStore, 'grantLease' | 'write'>;
  stored: StoredOrigins;
  /** Creates the key of a segment from its number. */
  toKey(segment: number): string;
  /** Whether this VM has to write that stream. */
  isWriterOf(streamId: string): boolean;
  /** VMs that have to write streams. */
  countWriters(): number;
  countVms(): number;
}

type Failure = Pick<PortFault, 'sent' | 'message'>;

/** The writer of one VM. */
export default class OriginWriter implements OriginStore {
  private readonly pending = new PendingOrigins();
  private open: OpenSegment | undefined;
  private lastSegment = 0;
  private isWriting = false;
  private lastWriteAtMs: Millis = -Infinity;
  private failures = 0;
  private retryAtMs: Millis = -Infinity;
  private timer: { atMs: Millis; cancel: CancelTimer } | undefined;

  constructor(private readonly options: OriginWriterOptions) {
    const { clock, metrics, stored } = options;
    stored.onArrival((digest) => this.pending.resolve(digest));
    metrics.gauge('limelead_pending_stream_origins', () => this.pending.size);
    metrics.gauge('limelead_oldest_pending_stream_origin_ms', () =>
      Math.round(clock.now() - (this.pending.oldestAtMs ?? clock.now())),
    );
    metrics.gauge('limelead_stored_stream_origins', () => stored.size);
  }

  add(origin: StreamOrigin, isOwn: boolean): void {
    const now = this.options.clock.now();
    const pending = toPending(origin, isOwn, now);
    const isWriter = this.options.isWriterOf(origin.streamId);
    // The writer has been told how long a stream that is resumed may be resumed again.
    const sinceMs = isOwn && !isWriter ? -Infinity : now - TELLING_MS;
    if (!(isOwn && isWriter) && this.options.stored.hasSince(pending, sinceMs)) {
      return;
    }
    this.pending.add(pending);
    this.schedule(isWriter ? now : now + CHECK_INTERVAL_MS);
  }

  forget(streamId: string): void {
    this.pending.forget(streamId);
  }

  find(stream: StreamKey): string | undefined {
    return this.options.stored.find({ service: stream.service, digest: digestStream(stream) });
  }

  /** Looks for streams to write at that time, or as soon as a write may start behind it. */
  private schedule(wantedAtMs: Millis): void {
    const { clock, timers, countWriters } = this.options;
    if (this.isWriting || this.pending.size === 0) {
      return;
    }
    const earliestMs = this.lastWriteAtMs + groupIntervalMs(countWriters());
    const atMs = Math.max(wantedAtMs, earliestMs, this.retryAtMs);
    if (this.timer !== undefined && this.timer.atMs <= atMs) {
      return;
    }
    this.timer?.cancel();
    const delayMs = Math.max(0, atMs - clock.now());
    this.timer = { atMs, cancel: timers.after(delayMs, () => this.check()) };
  }

  private check(): void {
    const { clock } = this.options;
    this.timer = undefined;
    const now = clock.now();
    const due = this.findDue(now);
    if (due.length === 0) {
      this.schedule(now + CHECK_INTERVAL_MS);
      return;
    }
    void this.write(planGroup(due, this.open, now));
  }

  /** The streams of which this VM is the writer, and its own ones that nobody wrote in time. */
  private findDue(now: Millis): PendingOrigin[] {
    const { isWriterOf, countVms } = this.options;
    const mayReplace = now >= this.lastWriteAtMs + groupIntervalMs(countVms());
    return this.pending.search(
      now,
      ({ streamId, isOwn, addedAtMs }) =>
        isWriterOf(streamId) || (mayReplace && isOwn && now - addedAtMs >= OWN_FALLBACK_MS),
    );
  }

  private async write(plan: GroupPlan): Promise<void> {
    const { clock, log, metrics } = this.options;
    const startedAtMs = clock.now();
    this.isWriting = true;
    this.lastWriteAtMs = startedAtMs;
    const failure = await this.store(plan);
    this.isWriting = false;
    if (failure === undefined) {
      const streams = plan.group.length;
      this.failures = 0;
      this.pending.resolveWritten(plan.group);
      metrics.count('limelead_origin_groups_stored_total');
      metrics.count('limelead_stream_origins_stored_total', streams);
      const oldestAtMs = Math.min(...plan.group.map(({ addedAtMs }) => addedAtMs));
      log.write('origins-stored', {
        ...{ streams, segment: this.open?.key, bytes: this.open?.bytes },
        tookMs: Math.round(clock.now() - startedAtMs),
        oldestMs: Math.round(clock.now() - oldestAtMs),
      });
    } else {
      this.onFailed(failure);
    }
    this.schedule(clock.now());
  }

  private onFailed({ sent, message }: Failure): void {
    const { clock, random, log, metrics } = this.options;
    this.failures += 1;
    this.retryAtMs = clock.now() + backoffMs(this.failures, WRITE_RETRIES, random.next());
    if (sent !== 'no') {
      // The write may take effect later and would undo a later one of the same segment.
      this.open = undefined;
    }
    metrics.count('limelead_origin_groups_failed_total');
    log.write('origins-store-failed', {
      ...{ reason: message, sent, pending: this.pending.size, failures: this.failures },
      retryInMs: Math.round(this.retryAtMs - clock.now()),
    });
  }

  /** Returns the failure; undefined if the store holds the group. */
  private async store(plan: GroupPlan): Promise<Failure | undefined> {
    const segment =
      plan.segment === undefined ? await this.openSegment(plan) : E.right(plan.segment);
    if (E.isLeft(segment)) {
      return segment.left;
    }
    const { key, lease, entries } = segment.right;
    const written = new Map([...entries, ...plan.group].map((entry) => [entry.digest, entry]));
    const value = encodeSegment(written.values());
    const answer = await this.options.store.write([], [{ kind: 'put', key, value, lease }])();
    const failure = E.isLeft(answer) ? answer.left : describeRefusal(answer.right);
    if (failure === undefined) {
      this.open = { ...segment.right, entries: [...written.values()], bytes: value.length };
    }
    return failure;
  }

  private async openSegment({ leaseMs }: GroupPlan): Promise<E.Either<PortFault, OpenSegment>> {
    const { clock, store, toKey } = this.options;
    const openedAtMs = clock.now();
    const granted = await store.grantLease(leaseMs)();
    this.lastSegment += 1;
    const key = toKey(this.lastSegment);
    return E.isLeft(granted)
      ? granted
      : E.right({
          ...{ key, openedAtMs, lease: granted.right.lease, entries: [], bytes: 0 },
          leaseEndsAtMs: openedAtMs + granted.right.ttlMs,
        });
  }
}

/** A segment whose lease is gone is given up. */
function describeRefusal({ kind }: WriteOutcome): Failure | undefined {
  return kind === 'written' ? undefined : { sent: 'maybe', message: kind };
}
