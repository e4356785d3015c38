/** The streams whose software version this VM knows. */
import type { Clock, Millis, StreamKey, StreamOrigin } from '@limelead/types';

/** Bounds the memory; the streams that were recorded first are forgotten first. */
const MAX_STREAMS = 30_000;
/** Time beyond the deadline of a stream for which it is kept, since attempts may be under way. */
const GRACE_MS: Millis = 2_000;

/** Difference up to which two attempts of a stream have the same deadline. */
const SAME_DEADLINE_MS: Millis = 500;

interface KnownStream {
  service: string;
  softwareVersion: string;
  /** Whether VMs named several versions, so that none is known to have begun the stream. */
  isContradicted: boolean;
  expiresAtMs: Millis;
  /** Whether this VM served the stream. */
  isOwn: boolean;
}

/** A stream of the table. */
export interface ListedOrigin {
  origin: StreamOrigin;
  /** Whether this VM served the stream. */
  isOwn: boolean;
}

/** Origins by stream id. */
export default class OriginTable {
  private readonly streams = new Map<string, KnownStream>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.streams.size;
  }

  /**
   * @param isOwn whether this VM served the stream
   * @returns whether the stream is new here, or may be resumed for longer than was known
   */
  record({ streamId, service, softwareVersion, leftMs }: StreamOrigin, isOwn: boolean): boolean {
    const known = this.streams.get(streamId);
    const now = this.clock.now();
    const expiresAtMs = now + leftMs + GRACE_MS;
    const isOther =
      known !== undefined &&
      known.expiresAtMs > now &&
      known.service === service &&
      known.softwareVersion !== softwareVersion;
    this.streams.delete(streamId);
    this.forgetOldest();
    this.streams.set(streamId, {
      service,
      softwareVersion,
      isContradicted: isOther || (known?.isContradicted === true && known.expiresAtMs > now),
      expiresAtMs,
      isOwn: isOwn || known?.isOwn === true,
    });
    return (
      known?.service !== service ||
      known.softwareVersion !== softwareVersion ||
      expiresAtMs > known.expiresAtMs + SAME_DEADLINE_MS
    );
  }

  forget(streamId: string): void {
    this.streams.delete(streamId);
  }

  /** The version that began a stream; undefined if unknown. */
  find(stream: StreamKey): string | undefined {
    const known = this.get(stream);
    return known?.isContradicted === false ? known.softwareVersion : undefined;
  }

  /** Whether several versions were named for a stream. */
  isContradicted(stream: StreamKey): boolean {
    return this.get(stream)?.isContradicted === true;
  }

  private get({ streamId, service }: StreamKey): KnownStream | undefined {
    const known = this.streams.get(streamId);
    const isValid = known?.service === service && known.expiresAtMs > this.clock.now();
    return isValid ? known : undefined;
  }

  /** The streams that this VM served and that may still be resumed. */
  listOwn(isIncluded: (service: string) => boolean): StreamOrigin[] {
    return this.list(isIncluded).flatMap(({ origin, isOwn }) => (isOwn ? [origin] : []));
  }

  /** All streams that may still be resumed. */
  list(isIncluded: (service: string) => boolean): ListedOrigin[] {
    const now = this.clock.now();
    return [...this.streams].flatMap(([streamId, known]) => {
      const { service, softwareVersion, isOwn, expiresAtMs, isContradicted } = known;
      const leftMs = expiresAtMs - GRACE_MS - now;
      return leftMs > 0 && !isContradicted && isIncluded(service)
        ? [{ origin: { streamId, service, softwareVersion, leftMs }, isOwn }]
        : [];
    });
  }

  /** Removes expired streams from the old end, and the oldest one if the table is full. */
  private forgetOldest(): void {
    const now = this.clock.now();
    for (const [streamId, { expiresAtMs }] of this.streams) {
      if (expiresAtMs > now && this.streams.size < MAX_STREAMS) {
        return;
      }
      this.streams.delete(streamId);
    }
  }
}
