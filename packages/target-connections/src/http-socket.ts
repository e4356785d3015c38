/** A TCP connection whose end the HTTP library can meet at any time, also while it does not read. */
import type { CancelTimer, Timers } from '@limelead/types';
import { Socket } from 'node:net';
import type { ConnectionReads } from './read-share.js';

/** Meters what the library takes of a connection. */
export interface TakenBytes {
  /** Bytes that the library takes, or returns if negative. */
  addTaken(bytes: number): void;
  /** Returns an error if the library must not take more, which then ends the connection. */
  findError(): Error | undefined;
}

/** Paces what the socket reads from the kernel. */
export interface ReadPacing {
  reads: ConnectionReads;
  timers: Timers;
}

/**
 * The library takes the end or reset of a connection for the end of an answer that has no other
 * end. If it does not read at that time, an assertion fails in an event of the socket.
 */
export default class HttpSocket extends Socket {
  private hasReceivedEnd = false;
  private isOfferingEnd = false;

  private cancelWait: CancelTimer | undefined;

  constructor(
    private readonly taken?: TakenBytes,
    private readonly pacing?: ReadPacing,
  ) {
    super();
  }

  /** Returns false, at which the socket stops to read, also when no more may be read now. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    this.hasReceivedEnd ||= chunk === null;
    const mayReadMore = !Buffer.isBuffer(chunk) || this.pacing?.reads.add(chunk.length) !== false;
    return super.push(chunk, encoding) && mayReadMore;
  }

  /** Called once the bytes read so far are taken. */
  override _read(size: number): void {
    const waitMs = this.pacing?.reads.requestRead() ?? 0;
    if (waitMs === 0) {
      super._read(size);
      return;
    }
    this.cancelWait?.();
    this.cancelWait = this.pacing?.timers.after(waitMs, () => super._read(size));
  }

  /**
   * Reads as a `Socket` does, but a read never ends the socket by itself: the library may stop
   * reading at the bytes that it has just read. Once nothing is left, a further `readable` event
   * asks for a read, and `end` follows that one.
   */
  override read(size?: number): unknown {
    const error = this.taken?.findError();
    if (error !== undefined) {
      this.destroy(error);
      return null;
    }
    const chunk = this.readChunk(size);
    if (Buffer.isBuffer(chunk)) {
      this.taken?.addTaken(chunk.length);
    }
    return chunk;
  }

  /** The library returns what follows the place at which its reader paused. */
  override unshift(chunk: Buffer, encoding?: BufferEncoding): void {
    this.taken?.addTaken(-chunk.length);
    super.unshift(chunk, encoding);
  }

  private readChunk(size?: number): unknown {
    if (!this.hasReceivedEnd || this.isOfferingEnd) {
      return super.read(size);
    }
    if (this.readableLength > 0) {
      // A read of exactly what is left does not emit `end`.
      return size === 0 ? null : super.read(size ?? this.readableLength);
    }
    if (size !== 0) {
      process.nextTick(() => this.offerEnd());
    }
    return null;
  }

  /** Destroys the socket. A reset gets an error of its own, without the code `ECONNRESET`. */
  override _destroy(
    error: NodeJS.ErrnoException | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.cancelWait?.();
    const isReset = error?.code === 'ECONNRESET';
    super._destroy(isReset ? new Error('connection reset', { cause: error }) : error, callback);
  }

  private offerEnd(): void {
    this.isOfferingEnd = true;
    this.emit('readable');
    this.isOfferingEnd = false;
  }
}
