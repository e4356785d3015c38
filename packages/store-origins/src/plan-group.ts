/** Decides which streams are written next, into which segment, and when. */
import type { BackoffBounds, Millis } from '@limelead/types';
import { DIGEST_CHARS } from './digest-stream.js';
import type { PendingOrigin } from './pending-origins.js';
import type { SegmentEntry } from './segment-item.js';

/** Shortest time between two writes of one VM. */
const MIN_INTERVAL_MS: Millis = 100;
/** Groups of all VMs together; with a lease for each, they are a quarter of a small store's limit. */
const FLEET_GROUPS_PER_SECOND = 50;
/** Time for which a segment takes further streams. */
export const SEGMENT_MS: Millis = 2_000;
/** Size of an item up to which further streams are added. */
export const MAX_SEGMENT_BYTES = 1_024;
/** Bytes of the names of a service and of a version beside their letters. */
const NAMES_OVERHEAD_BYTES = 12;
/** Time beyond the deadline of a stream for which it is kept, since attempts may be under way. */
const STREAM_GRACE_MS: Millis = 2_000;
/** Longest lease that the store grants. */
const MAX_LEASE_MS: Millis = 600_000;
/** Delays behind writes that failed. */
export const WRITE_RETRIES: BackoffBounds = { firstMs: 200, maxMs: 5_000 };

const MILLIS_PER_SECOND = 1_000;

/** A segment of which this VM is the writer. */
export interface OpenSegment {
  key: string;
  openedAtMs: Millis;
  lease: number;
  leaseEndsAtMs: Millis;
  /** The streams that the store is known to hold. */
  entries: readonly SegmentEntry[];
  /** Size of the item's value. */
  bytes: number;
}

/** The next write. */
export interface GroupPlan {
  /** The segment that takes the group; undefined for a new one. */
  segment?: OpenSegment;
  group: PendingOrigin[];
  /** Lifetime of the lease for a new segment. */
  leaseMs: Millis;
}

/** @param writers VMs that write at the same time */
export function groupIntervalMs(writers: number): Millis {
  return Math.max(MIN_INTERVAL_MS, (writers * MILLIS_PER_SECOND) / FLEET_GROUPS_PER_SECOND);
}

/** Plans the write of some streams; the first ones if one segment cannot take all. */
export function planGroup(
  pending: readonly PendingOrigin[],
  open: OpenSegment | undefined,
  nowMs: Millis,
): GroupPlan {
  const group = takeFitting(pending);
  const longestMs = Math.max(...group.map(({ expiresAtMs }) => expiresAtMs)) - nowMs;
  return {
    segment: open !== undefined && canTake(open, group, nowMs) ? open : undefined,
    group,
    leaseMs: Math.ceil(Math.min(MAX_LEASE_MS, longestMs + STREAM_GRACE_MS + SEGMENT_MS)),
  };
}

function canTake(open: OpenSegment, group: readonly PendingOrigin[], nowMs: Millis): boolean {
  return (
    nowMs - open.openedAtMs < SEGMENT_MS &&
    group.every(
      ({ expiresAtMs }) =>
        Math.min(expiresAtMs + STREAM_GRACE_MS, nowMs + MAX_LEASE_MS - SEGMENT_MS) <=
        open.leaseEndsAtMs,
    ) &&
    estimateBytes([...open.entries, ...group]) <= MAX_SEGMENT_BYTES
  );
}

/** The first streams that a segment has room for, at least one. */
function takeFitting(pending: readonly PendingOrigin[]): PendingOrigin[] {
  const most = pending.slice(0, Math.floor(MAX_SEGMENT_BYTES / DIGEST_CHARS));
  while (most.length > 1 && estimateBytes(most) > MAX_SEGMENT_BYTES) {
    most.pop();
  }
  return most;
}

function estimateBytes(entries: readonly SegmentEntry[]): number {
  const names = new Set(entries.map(({ service, softwareVersion }) => service + softwareVersion));
  const nameBytes = [...names].map((name) => Buffer.byteLength(name) + NAMES_OVERHEAD_BYTES);
  return nameBytes.reduce((sum, bytes) => sum + bytes, entries.length * DIGEST_CHARS);
}
