/** The origins of streams in the store, as this VM's view of the store has them. */
import type { Clock, Millis } from '@limelead/types';
import type { SegmentEntry, SegmentOrigins } from './segment-item.js';

interface StoredSegment {
  origins: SegmentOrigins;
  arrivedAtMs: Millis;
}

/** Origins by segment; a segment is an item of the store. */
export default class StoredOrigins {
  private readonly segments = new Map<string, StoredSegment>();
  /** The segments that hold each digest, nearly always one. */
  private readonly holders = new Map<string, StoredSegment | StoredSegment[]>();
  private listener: ((digest: string) => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Number of streams. */
  get size(): number {
    return this.holders.size;
  }

  /** Calls the listener with each digest that a segment did not hold before. */
  onArrival(listener: (digest: string) => void): void {
    this.listener = listener;
  }

  /** Adds or replaces a segment. */
  put(key: string, origins: SegmentOrigins): void {
    const segment = this.segments.get(key) ?? { origins: new Map(), arrivedAtMs: 0 };
    const before = new Set(listDigests(segment.origins));
    const after = new Set(listDigests(origins));
    this.segments.set(key, segment);
    segment.origins = origins;
    segment.arrivedAtMs = this.clock.now();
    before.forEach((digest) => !after.has(digest) && this.removeHolder(digest, segment));
    after.forEach((digest) => {
      if (!before.has(digest)) {
        this.holders.set(digest, append(this.holders.get(digest), segment));
        this.listener?.(digest);
      }
    });
  }

  remove(key: string): void {
    const segment = this.segments.get(key);
    if (segment !== undefined) {
      listDigests(segment.origins).forEach((digest) => this.removeHolder(digest, segment));
      this.segments.delete(key);
    }
  }

  clear(): void {
    this.segments.clear();
    this.holders.clear();
  }

  /** The version that began a stream; undefined if unknown, or if segments contradict each other. */
  find({ service, digest }: Omit<SegmentEntry, 'softwareVersion'>): string | undefined {
    const versions = this.listHolders(digest).flatMap(({ origins }) =>
      [...(origins.get(service) ?? [])].flatMap(([version, digests]) =>
        digests.has(digest) ? [version] : [],
      ),
    );
    return new Set(versions).size === 1 ? versions[0] : undefined;
  }

  /** Whether a segment that holds the stream arrived at that time or later. */
  hasSince({ service, softwareVersion, digest }: SegmentEntry, sinceMs: Millis): boolean {
    return this.listHolders(digest).some(
      ({ origins, arrivedAtMs }) =>
        arrivedAtMs >= sinceMs && origins.get(service)?.get(softwareVersion)?.has(digest) === true,
    );
  }

  private listHolders(digest: string): StoredSegment[] {
    const holders = this.holders.get(digest) ?? [];
    return Array.isArray(holders) ? holders : [holders];
  }

  private removeHolder(digest: string, segment: StoredSegment): void {
    const [first, ...others] = this.listHolders(digest).filter((holder) => holder !== segment);
    if (first === undefined) {
      this.holders.delete(digest);
    } else {
      this.holders.set(digest, others.length === 0 ? first : [first, ...others]);
    }
  }
}

function append(
  holders: StoredSegment | StoredSegment[] | undefined,
  segment: StoredSegment,
): StoredSegment | StoredSegment[] {
  return holders === undefined ? segment : [holders, segment].flat();
}

function listDigests(origins: SegmentOrigins): string[] {
  return [...origins.values()].flatMap((versions) =>
    [...versions.values()].flatMap((digests) => [...digests]),
  );
}
