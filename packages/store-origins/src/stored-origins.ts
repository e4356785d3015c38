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
  private listener: ((digest: string) => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Number of streams; one that several segments hold counts in each. */
  get size(): number {
    let size = 0;
    for (const { origins } of this.segments.values()) {
      origins.forEach((versions) => versions.forEach((digests) => (size += digests.size)));
    }
    return size;
  }

  /** Calls the listener with each digest that a segment did not hold before. */
  onArrival(listener: (digest: string) => void): void {
    this.listener = listener;
  }

  /** Adds or replaces a segment. */
  put(key: string, origins: SegmentOrigins): void {
    const before = this.segments.get(key)?.origins;
    this.segments.set(key, { origins, arrivedAtMs: this.clock.now() });
    origins.forEach((versions, service) =>
      versions.forEach((digests, version) => {
        const known = before?.get(service)?.get(version);
        digests.forEach((digest) => known?.has(digest) !== true && this.listener?.(digest));
      }),
    );
  }

  remove(key: string): void {
    this.segments.delete(key);
  }

  clear(): void {
    this.segments.clear();
  }

  /** The version that began a stream; undefined if unknown, or if segments contradict each other. */
  find({ service, digest }: Omit<SegmentEntry, 'softwareVersion'>): string | undefined {
    const found = new Set<string>();
    for (const { origins } of this.segments.values()) {
      origins.get(service)?.forEach((digests, version) => {
        if (digests.has(digest)) {
          found.add(version);
        }
      });
    }
    const [version] = found;
    return found.size === 1 ? version : undefined;
  }

  /** Whether a segment that holds the stream arrived at that time or later. */
  hasSince({ service, softwareVersion, digest }: SegmentEntry, sinceMs: Millis): boolean {
    for (const { origins, arrivedAtMs } of this.segments.values()) {
      if (arrivedAtMs >= sinceMs && origins.get(service)?.get(softwareVersion)?.has(digest)) {
        return true;
      }
    }
    return false;
  }
}
