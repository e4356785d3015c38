/**
 * Limits what long answers take of the event loop. Pure. Addresses targets that send without end as
 * fast as they are read: one of them took a whole VM. A connection reads a burst at once; beyond it
 * connections take turns, which are spread over time.
 */
import type { Clock, Millis } from '@limelead/types';

/** Bytes that a connection may read without turns. */
export const BURST_BYTES = 256 * 1_024;
/** Time in which a burst that was read comes back. */
export const BURST_REFILL_MS = 1_000;
/** Bytes of a turn; a read from a socket returns no more at once. */
export const TURN_BYTES = 64 * 1_024;
/** Rate of the turns of all connections together. */
export const TURNS_BYTES_PER_MS = 16 * 1_024;

/** The turns of all connections. */
export default class ReadShare {
  private bookedUntilMs: Millis = 0;

  constructor(readonly clock: Clock) {}

  /** Books time for bytes behind the bookings so far. Returns the wait until they may be read. */
  book(bytes: number): Millis {
    const nowMs = this.clock.now();
    this.bookedUntilMs = Math.max(nowMs, this.bookedUntilMs) + bytes / TURNS_BYTES_PER_MS;
    return this.bookedUntilMs - nowMs;
  }
}

/** The reads of one connection. */
export class ConnectionReads {
  private allowedBytes = BURST_BYTES;
  private updatedAtMs: Millis;

  constructor(private readonly share: ReadShare) {
    this.updatedAtMs = share.clock.now();
  }

  /** Counts bytes that were read. Returns whether more may be read now. */
  add(bytes: number): boolean {
    this.refill();
    this.allowedBytes -= bytes;
    return this.allowedBytes > 0;
  }

  /** Returns the wait until the next read, for which a turn is booked; 0 if none is needed. */
  requestRead(): Millis {
    this.refill();
    if (this.allowedBytes > 0) {
      return 0;
    }
    const waitMs = this.share.book(TURN_BYTES - this.allowedBytes);
    this.allowedBytes = TURN_BYTES;
    return waitMs;
  }

  private refill(): void {
    const nowMs = this.share.clock.now();
    const refilled = ((nowMs - this.updatedAtMs) / BURST_REFILL_MS) * BURST_BYTES;
    this.allowedBytes = Math.min(BURST_BYTES, this.allowedBytes + refilled);
    this.updatedAtMs = nowMs;
  }
}
