/** The streams whose origin is not in the store yet, as far as this VM knows. */
import type { Millis, StreamOrigin } from '@limelead/types';
import digestStream from './digest-stream.js';
import type { SegmentEntry } from './segment-item.js';

/** Bounds the memory; the streams that were added first are forgotten first. */
const MAX_PENDING = 30_000;
/** Streams that one search looks at; the next search goes on with the others. */
const MAX_SEARCHED = 2_000;

/** A stream to be stored. */
export interface PendingOrigin extends SegmentEntry {
  streamId: string;
  addedAtMs: Millis;
  /** End of the time for which the stream may be resumed. */
  expiresAtMs: Millis;
  /** Whether this VM served the stream. */
  isOwn: boolean;
}

/** Composes the entry of a stream. */
export function toPending(origin: StreamOrigin, isOwn: boolean, nowMs: Millis): PendingOrigin {
  const { streamId, service, softwareVersion, leftMs } = origin;
  return {
    ...{ streamId, service, softwareVersion, isOwn, digest: digestStream(origin) },
    ...{ addedAtMs: nowMs, expiresAtMs: nowMs + leftMs },
  };
}

/** Pending streams in the order in which they were added or last searched. */
export default class PendingOrigins {
  private readonly byDigest = new Map<string, PendingOrigin>();
  private readonly digests = new Map<string, string>();

  get size(): number {
    return this.byDigest.size;
  }

  /** Time at which the oldest one was added; undefined if there is none. */
  get oldestAtMs(): Millis | undefined {
    let oldestMs: Millis | undefined;
    for (const { addedAtMs } of this.byDigest.values()) {
      oldestMs = Math.min(addedAtMs, oldestMs ?? addedAtMs);
    }
    return oldestMs;
  }

  add(pending: PendingOrigin): void {
    this.resolve(pending.digest);
    const [oldest] = this.byDigest.keys();
    if (oldest !== undefined && this.byDigest.size >= MAX_PENDING) {
      this.resolve(oldest);
    }
    this.byDigest.set(pending.digest, pending);
    this.digests.set(pending.streamId, pending.digest);
  }

  /** Drops a stream that ended well. */
  forget(streamId: string): void {
    const digest = this.digests.get(streamId);
    if (digest !== undefined) {
      this.resolve(digest);
    }
  }

  /** Drops a stream that the store holds. */
  resolve(digest: string): void {
    const pending = this.byDigest.get(digest);
    if (pending !== undefined) {
      this.byDigest.delete(digest);
      this.digests.delete(pending.streamId);
    }
  }

  /** Drops streams that were written, unless they were added again meanwhile. */
  resolveWritten(written: readonly PendingOrigin[]): void {
    written
      .filter((pending) => this.byDigest.get(pending.digest) === pending)
      .forEach(({ digest }) => this.resolve(digest));
  }

  /** Lists streams that match, and drops expired ones on the way. */
  search(nowMs: Millis, matches: (pending: PendingOrigin) => boolean): PendingOrigin[] {
    const searched = this.takeFirst(MAX_SEARCHED);
    const isPartial = searched.length < this.byDigest.size;
    const valid = searched.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
    searched
      .filter(({ expiresAtMs }) => expiresAtMs <= nowMs)
      .forEach(({ digest }) => this.resolve(digest));
    const found = valid.filter(matches);
    if (isPartial) {
      const matching = new Set(found);
      valid.filter((pending) => !matching.has(pending)).forEach((other) => this.moveToEnd(other));
    }
    return found;
  }

  private takeFirst(count: number): PendingOrigin[] {
    const first: PendingOrigin[] = [];
    for (const pending of this.byDigest.values()) {
      if (first.length >= count) {
        break;
      }
      first.push(pending);
    }
    return first;
  }

  private moveToEnd(pending: PendingOrigin): void {
    this.byDigest.delete(pending.digest);
    this.byDigest.set(pending.digest, pending);
  }
}
